package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"cowslipshunt.example/shared/standin"
	"cowslipshunt.example/wire"
	"github.com/go-chi/chi/v5"
)

var errNoBooking = errors.New("booking has no name")

// outcome is what running a request gave.
type outcome struct {
	booking string
	body    any
}

// runner runs a request with its body; an error is the caller's fault and nothing ran.
type runner func(r *http.Request, body []byte) (outcome, error)

func (s *service) router() http.Handler {
	router := chi.NewRouter()
	router.Use(withReuse)
	router.Get("/received", s.serveReceived)
	router.Post("/fault", s.serveFault)
	router.Post("/bookings", s.serve(s.runBooking))
	router.Get("/bookings/{name}", s.serve(s.runCount))
	router.NotFound(s.serve(runEcho))
	router.MethodNotAllowed(s.serve(runEcho))
	return router
}

func (s *service) serveReceived(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, wire.ServiceReceivedList{Requests: s.received.All()})
}

func (s *service) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault wire.ServiceFault
	if !standin.ReadJSON(w, r, &fault) {
		return
	}
	s.fault.Set(fault)
	s.logger.Info().Any("Fault", fault).Msg("fault set")
}

// serve runs a request under the fault in force.
func (s *service) serve(run runner) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := standin.ReadBody(w, r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		again := reused(r.Context())
		fault := s.fault.Take(func(f wire.ServiceFault) bool {
			return f.Once && (again || !f.CloseReused)
		})
		if !s.admit(w, r, fault) {
			return
		}
		done, err := run(r, body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.keep(r, body, done.booking)
		if fault.CloseAfterRun || fault.CloseReused && again {
			closedTotal.Inc()
			panic(http.ErrAbortHandler)
		}
		standin.WriteJSON(w, http.StatusOK, done.body)
	}
}

// admit refuses or delays a request before it runs. A caller that went away during the delay gets nothing run.
func (s *service) admit(w http.ResponseWriter, r *http.Request, fault wire.ServiceFault) bool {
	if fault.Refuse {
		refusedTotal.Inc()
		standin.NotRun(w.Header())
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return false
	}
	if fault.DelayMillis <= 0 {
		return true
	}
	timer := s.clock.NewTimer(time.Duration(fault.DelayMillis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *service) keep(r *http.Request, body []byte, booking string) {
	runsTotal.Inc()
	s.received.Add(wire.ServiceReceived{
		Body:      body,
		Booking:   booking,
		Header:    standin.JoinHeaderValues(r.Header),
		Method:    r.Method,
		Path:      r.URL.Path,
		Request:   wire.RequestId(r.Header.Get(standin.RequestHeader)),
		Workspace: wire.WorkspaceName(r.Header.Get(standin.WorkspaceHeader)),
	})
}

func (s *service) runBooking(_ *http.Request, body []byte) (outcome, error) {
	var request wire.BookingRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return outcome{}, err
	}
	if request.Booking == "" {
		return outcome{}, errNoBooking
	}
	return outcome{booking: request.Booking, body: s.book(request.Booking)}, nil
}

func (s *service) runCount(r *http.Request, _ []byte) (outcome, error) {
	return outcome{body: s.booking(chi.URLParam(r, "name"))}, nil
}

func runEcho(r *http.Request, body []byte) (outcome, error) {
	return outcome{body: wire.ServiceEcho{Method: r.Method, Path: r.URL.Path, BodyBytes: len(body)}}, nil
}
