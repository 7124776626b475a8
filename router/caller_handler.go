package main

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/intake"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/shared/process"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/phuslu/log"
)

// Bounds of callers' connections.
const (
	// headerTimeout bounds the time for a head until a configuration sets another limit.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds a head in net/http; the limit in force, in headLimits, is lower.
	maxHeaderBytes = 1 << 20
)

// requestRelay serves requests. It is implemented by *relay.Relay.
type requestRelay interface {
	// Serve runs a request and returns when its caller has an answer.
	Serve(ctx context.Context, r *relay.Request, c relay.Caller)
	// Table returns the configuration in force, or nil.
	Table() *route.Table
}

// callerHandler is the HTTP handler for callers' requests.
type callerHandler struct {
	relay  requestRelay
	logger *log.Logger
	// memory is what the bodies of all requests may take.
	memory *intake.Budget
	// stopping is set when the instance stops. Answers then carry "Connection: close", so that callers connect to another instance.
	stopping atomic.Bool
}

// newCallerHandler returns a handler that passes requests to r and holds their bodies in memory.
func newCallerHandler(r requestRelay, memory *intake.Budget, logger *log.Logger) *callerHandler {
	metrics.GetOrCreateGauge("router_request_body_bytes", func() float64 { return float64(memory.Held()) })
	return &callerHandler{relay: r, memory: memory, logger: logger}
}

// ServeHTTP passes one request to the relay. It aborts the connection if the caller breaks off the request's body or the answer is
// incomplete.
func (h *callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	req := platform.DecodeRequest(r, arrived)
	body := h.openBody(w, r, req)
	defer body.hold.Release()
	var err error
	req.Body, err = body.readWhole(r.Context())
	h.logMemory(req, body, err)
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		h.refuseUnread(w, body, err)
		return
	}
	caller := platform.NewCaller(w)
	ctx, release := callerContext(r)
	defer release()
	h.serve(ctx, req, caller)
	metrics.GetOrCreateHistogram("router_request_seconds").UpdateDuration(arrived)
	if caller.Err != nil {
		h.logUndelivered(req, caller.Err)
	}
	if caller.Incomplete {
		panic(http.ErrAbortHandler)
	}
}

// serve passes a request to the relay. If that panics, the caller gets a refusal that promises nothing, or an incomplete answer.
func (h *callerHandler) serve(ctx context.Context, req *relay.Request, caller *platform.Caller) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		logPanic(h.logger, "request", string(req.ID), value)
		if caller.Begun {
			caller.Abort()
			return
		}
		caller.Refuse(relay.Refusal{Verdict: relay.Unknown, Reason: "an internal error"})
	}()
	h.relay.Serve(ctx, req, caller)
}

// logUndelivered logs that an answer could not be written to the caller's connection.
func (h *callerHandler) logUndelivered(req *relay.Request, err error) {
	metrics.GetOrCreateCounter("router_answers_undelivered_total").Inc()
	h.logger.Info().Str("Request", string(req.ID)).Int64("AgeMillis", time.Since(req.Arrived).Milliseconds()).Err(err).Msg("Undelivered")
}

// newCallerServer returns the HTTP server for callers' connections. All requests end with ctx.
func newCallerServer(ctx context.Context, h *callerHandler) *http.Server {
	return &http.Server{
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext:       withCallerConn,
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// newReadyServer returns the server of the readiness check: the platform opens new connections only while ready returns true.
func newReadyServer(ready func() bool) *http.Server {
	r := chi.NewRouter()
	r.Get(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if ready() {
			w.WriteHeader(http.StatusOK)
			return
		}
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	})
	return &http.Server{Handler: r, ReadHeaderTimeout: headerTimeout, IdleTimeout: process.IdleTimeout, MaxHeaderBytes: process.MaxHeaderBytes}
}
