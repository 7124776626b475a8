package main

import (
	"fmt"
	"io"
	"sync"

	"cowslipshunt.example/shared/standin"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
)

var (
	runsTotal     = metrics.NewCounter("standin_service_runs_total")
	refusedTotal  = metrics.NewCounter("standin_service_refused_total")
	closedTotal   = metrics.NewCounter("standin_service_closed_total")
	bookingsTotal = metrics.NewCounter("standin_service_bookings_total")
)

// service counts the runs of each booking and records the requests that ran.
type service struct {
	clock    clockwork.Clock
	logger   *log.Logger
	received *standin.Journal[wire.ServiceReceived]
	fault    standin.Fault[wire.ServiceFault]
	mu       sync.Mutex
	runs     map[string]int
}

// option configures a service.
type option func(*service)

func withClock(clock clockwork.Clock) option {
	return func(s *service) {
		s.clock = clock
	}
}

func withLogger(logger *log.Logger) option {
	return func(s *service) {
		s.logger = logger
	}
}

func newService(opts ...option) *service {
	s := &service{
		clock:    clockwork.NewRealClock(),
		logger:   &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
		received: standin.NewJournal[wire.ServiceReceived](standin.JournalSize),
		runs:     map[string]int{},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// countRun counts one more run of a booking.
func (s *service) countRun(name string) wire.BookingAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[name]++
	bookingsTotal.Inc()
	return bookingAnswer(name, s.runs[name])
}

// lookUp returns how often a booking ran.
func (s *service) lookUp(name string) wire.BookingAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return bookingAnswer(name, s.runs[name])
}

func bookingAnswer(name string, runs int) wire.BookingAnswer {
	a := wire.BookingAnswer{Booking: name, Runs: runs}
	if runs > 0 {
		a.Confirmation = fmt.Sprintf("%s-%d", name, runs)
	}
	return a
}
