// Package process holds what all programs need to run: logging, an operations listener, exit codes and graceful shutdown.
package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"cowslipshunt.example/shared/connections"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"
)

// Limits of the HTTP servers that NewServer returns.
const (
	HeaderTimeout  = 5 * time.Second
	IdleTimeout    = 60 * time.Second
	MaxHeaderBytes = 16 << 10
)

// Operations serves /metrics, /healthz and /readyz. Programs serve it on a separate address.
type Operations struct {
	ready  atomic.Bool
	Router chi.Router
}

// NewOperations returns an Operations whose /readyz answers that the program is not ready.
func NewOperations() *Operations {
	o := &Operations{Router: chi.NewRouter()}
	o.Router.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	o.Router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	o.Router.Get("/readyz", o.serveReady)
	return o
}

// SetReady sets whether /readyz answers that the program is ready.
func (o *Operations) SetReady(ready bool) {
	o.ready.Store(ready)
}

// Ready reports whether /readyz answers that the program is ready.
func (o *Operations) Ready() bool {
	return o.ready.Load()
}

func (o *Operations) serveReady(w http.ResponseWriter, _ *http.Request) {
	if o.ready.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	http.Error(w, "not ready", http.StatusServiceUnavailable)
}

// NewServer returns an HTTP server with the header and idle limits of this project.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: HeaderTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
	}
}

// ErrStopping is the cause of the context of a request that is ended, as its server has to stop.
var ErrStopping = errors.New("the process stops")

// endTimeout bounds the time in which handlers may answer the requests that are ended at the end of the grace period.
const endTimeout = time.Second

// Serve runs srv, whose BaseContext it sets, on l until ctx ends and then shuts it down gracefully. If requests are still running after
// grace, it ends their contexts with the cause ErrStopping, gives their handlers endTimeout to answer, closes the connections that
// remain, and returns context.DeadlineExceeded.
func Serve(ctx context.Context, srv *http.Server, l net.Listener, grace time.Duration) error {
	requests, endRequests := context.WithCancelCause(context.Background())
	defer endRequests(nil)
	srv.BaseContext = func(net.Listener) context.Context { return requests }
	conns := connections.Track(srv, clockwork.NewRealClock())
	done := make(chan error, 1)
	go func() {
		done <- srv.Serve(conns.Listener(l))
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(ForceContext(ctx), grace)
	defer cancel()
	err := conns.Shutdown(stopCtx)
	if err != nil {
		endRequests(ErrStopping)
		closeConnections(srv, conns)
	}
	if serveErr := <-done; !errors.Is(serveErr, http.ErrServerClosed) {
		return serveErr
	}
	return err
}

// closeConnections closes all connections of a server, those whose requests are answered within endTimeout after their answer.
func closeConnections(srv *http.Server, conns *connections.Tracker) {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	if conns.Shutdown(ctx) != nil {
		_ = srv.Close()
	}
}
