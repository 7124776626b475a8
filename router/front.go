package main

import (
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
	// defaultMaxBody bounds a request's body while no configuration says otherwise, in bytes.
	defaultMaxBody = 4 << 20
)

// front takes callers' requests.
type front struct {
	relay  *relay.Relay
	logger *log.Logger
	// leaving tells that the instance stops; callers are asked to open their next connection elsewhere.
	leaving atomic.Bool
}

// ServeHTTP runs one request.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	r.Body = http.MaxBytesReader(w, r.Body, f.maxBody())
	req, err := platform.DecodeRequest(r, arrived)
	if err != nil {
		f.logger.Info().Err(err).Msg("RequestUnread")
		panic(http.ErrAbortHandler)
	}
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	c := platform.NewCaller(w)
	f.relay.Serve(r.Context(), req, c)
	metrics.GetOrCreateHistogram("router_request_seconds").UpdateDuration(arrived)
	if c.Cut {
		panic(http.ErrAbortHandler)
	}
}

func (f *front) maxBody() int64 {
	if n := f.limits().MaxBody; n > 0 {
		return n
	}
	return defaultMaxBody
}

// limits are those of the configuration in force, or none.
func (f *front) limits() route.Limits {
	if t := f.relay.Table(); t != nil {
		return t.Limits
	}
	return route.Limits{}
}

// newFrontServer returns the server for callers' connections.
func newFrontServer(f *front, idle *idleConns) *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         idle.note,
	}
}

// newReadyServer returns the server that the platform asks whether new connections may come.
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
