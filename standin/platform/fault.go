package main

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// maxDelay is the longest delay that a fault can set.
const maxDelay = 10 * time.Minute

// Fault delays or fails the calls of the interfaces, as set by a test.
type Fault struct {
	clock  clockwork.Clock
	stop   <-chan struct{}
	active atomic.Pointer[wire.PlatformFault]
}

// NewFault returns a fault that has no effect until it is set. Once stop is closed, delayed calls fail with status 503.
func NewFault(clock clockwork.Clock, stop <-chan struct{}) *Fault {
	f := &Fault{clock: clock, stop: stop}
	f.active.Store(&wire.PlatformFault{})
	return f
}

// Set replaces the fault for calls that arrive from now on. It rejects a delay above maxDelay and paths without a leading
// slash.
func (f *Fault) Set(fault wire.PlatformFault) error {
	if delay := delayOf(&fault); delay < 0 || delay > maxDelay {
		return invalid("delay %d ms is not within 0 and %d ms", fault.DelayMillis, maxDelay.Milliseconds())
	}
	for _, path := range fault.Paths {
		if !strings.HasPrefix(path, "/") {
			return invalid("path %q does not start with a slash", path)
		}
	}
	f.active.Store(&fault)
	return nil
}

// Wrap returns a handler that applies the fault to calls of h.
func (f *Fault) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault := f.active.Load()
		if !matchesPath(fault, r.URL.Path) {
			h.ServeHTTP(w, r)
			return
		}
		if !f.delay(w, r, delayOf(fault)) {
			return
		}
		switch {
		case fault.Down:
			http.Error(w, "down", http.StatusServiceUnavailable)
		case fault.LoseAnswers:
			h.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			h.ServeHTTP(w, r)
		}
	})
}

// delay delays a call and reports whether to continue it. It reads the whole body before the delay, so that the call takes
// effect even if the caller has disconnected by then.
func (f *Fault) delay(w http.ResponseWriter, r *http.Request, d time.Duration) bool {
	if d == 0 {
		return true
	}
	body, err := readBody(w, r)
	if err != nil {
		writeError(w, err)
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	timer := f.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-f.stop:
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return false
	}
}

func delayOf(fault *wire.PlatformFault) time.Duration {
	return time.Duration(fault.DelayMillis) * time.Millisecond
}

func matchesPath(fault *wire.PlatformFault, path string) bool {
	if len(fault.Paths) == 0 {
		return true
	}
	for _, prefix := range fault.Paths {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}
