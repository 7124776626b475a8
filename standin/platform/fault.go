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

// maxDelay bounds a fault's delay.
const maxDelay = 10 * time.Minute

// Fault makes the interfaces fail as a test asks.
type Fault struct {
	clock clockwork.Clock
	stop  <-chan struct{}
	now   atomic.Pointer[wire.PlatformFault]
}

// NewFault returns a fault that does nothing until it is set; a delay ends early when stop is closed.
func NewFault(clock clockwork.Clock, stop <-chan struct{}) *Fault {
	f := &Fault{clock: clock, stop: stop}
	f.now.Store(&wire.PlatformFault{})
	return f
}

// Set replaces the fault in force for the calls that come in from now on.
func (f *Fault) Set(fault wire.PlatformFault) error {
	if delay := delayOf(&fault); delay < 0 || delay > maxDelay {
		return invalid("delay %d ms is not within 0 and %d ms", fault.DelayMillis, maxDelay.Milliseconds())
	}
	for _, path := range fault.Paths {
		if !strings.HasPrefix(path, "/") {
			return invalid("path %q does not start with a slash", path)
		}
	}
	f.now.Store(&fault)
	return nil
}

// Wrap puts the fault in front of h.
func (f *Fault) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault := f.now.Load()
		if !applies(fault, r.URL.Path) {
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
			h.ServeHTTP(&lostAnswer{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			h.ServeHTTP(w, r)
		}
	})
}

// delay holds a call back. It takes the body in first, so that the effect comes late even if the caller has gone by then.
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

func applies(fault *wire.PlatformFault, path string) bool {
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
