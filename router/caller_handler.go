package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/route"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/phuslu/log"
)

// Bounds of callers' connections.
const (
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 64 << 10
	// defaultMaxBodyBytes bounds a request's body unless the configuration sets a limit.
	defaultMaxBodyBytes = 4 << 20
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
	// stopping is set when the instance stops. Answers then carry "Connection: close", so that callers connect to another instance.
	stopping atomic.Bool
}

// ServeHTTP passes one request to the relay. It aborts the connection if the caller breaks off the request's body or the answer is
// incomplete.
func (h *callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	r.Body = http.MaxBytesReader(w, r.Body, h.maxBodyBytes())
	req, err := platform.DecodeRequest(r, arrived)
	if err != nil {
		h.refuseUnread(w, r, err)
		return
	}
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
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

// refuseUnread refuses a request whose body could not be read. It aborts the connection if the caller broke off, as no answer can reach it.
func (h *callerHandler) refuseUnread(w http.ResponseWriter, r *http.Request, err error) {
	h.logger.Info().Str("Request", platform.RequestID(r.Header)).Err(err).Msg("RequestUnread")
	var tooLong *http.MaxBytesError
	var network net.Error
	switch {
	case errors.As(err, &tooLong):
		platform.NewCaller(w).Refuse(relay.Refusal{Verdict: relay.TooLarge, Reason: fmt.Sprintf("the body exceeds %d bytes", tooLong.Limit)})
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("Connection", "close")
		platform.NewCaller(w).Refuse(relay.Refusal{Verdict: relay.Malformed, Reason: "the body cannot be read: " + err.Error()})
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

func (h *callerHandler) maxBodyBytes() int64 {
	if n := h.limits().MaxBody; n > 0 {
		return n
	}
	return defaultMaxBodyBytes
}

// limits returns the limits of the configuration in force, or zero limits if there is no configuration yet.
func (h *callerHandler) limits() route.Limits {
	if t := h.relay.Table(); t != nil {
		return t.Limits
	}
	return route.Limits{}
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
	return &http.Server{Handler: r, ReadHeaderTimeout: headerTimeout}
}
