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

// result is the answer to a request that ran, with the booking's name if it ran one.
type result struct {
	booking string
	body    any
}

// runner runs a request with its body. An error means that the request is invalid and did not run.
type runner func(r *http.Request, body []byte) (result, error)

func (s *service) router() http.Handler {
	router := chi.NewRouter()
	router.Use(markReused)
	router.Get("/received", s.serveReceived)
	router.Post("/fault", s.serveFault)
	router.Post("/bookings", s.serve(s.runBooking))
	router.Get("/bookings/{name}", s.serve(s.lookUpBooking))
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

// serve returns a handler that runs requests with run, subject to the fault that is set.
func (s *service) serve(run runner) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := standin.ReadBody(w, r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reused := isReused(r.Context())
		fault := s.fault.Take(func(f wire.ServiceFault) bool {
			return f.Once && (reused || !f.CloseReused)
		})
		if !s.admit(w, r, fault) {
			return
		}
		res, err := run(r, body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.record(r, body, res.booking)
		if fault.CloseAfterRun || fault.CloseReused && reused {
			closedTotal.Inc()
			panic(http.ErrAbortHandler)
		}
		standin.WriteJSON(w, http.StatusOK, res.body)
	}
}

// admit rejects or delays a request according to the fault, and reports whether to run it. A request whose caller disconnects
// during the delay does not run.
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

func (s *service) record(r *http.Request, body []byte, booking string) {
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

func (s *service) runBooking(_ *http.Request, body []byte) (result, error) {
	var request wire.BookingRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return result{}, err
	}
	if request.Booking == "" {
		return result{}, errNoBooking
	}
	return result{booking: request.Booking, body: s.countRun(request.Booking)}, nil
}

func (s *service) lookUpBooking(r *http.Request, _ []byte) (result, error) {
	return result{body: s.lookUp(chi.URLParam(r, "name"))}, nil
}

func runEcho(r *http.Request, body []byte) (result, error) {
	return result{body: wire.ServiceEcho{Method: r.Method, Path: r.URL.Path, BodyBytes: len(body)}}, nil
}
