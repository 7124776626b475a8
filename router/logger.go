package main

import (
	"io"
	"sync/atomic"
	"time"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// logQueue is how many lines wait for the output; what comes beyond is dropped and counted.
const logQueue = 4096

// logWrite is how many bytes of waiting lines are written at a time: the capacity of a pipe.
const logWrite = 64 << 10

// droppedEvery is how often the log says how many lines were dropped, while some are.
const droppedEvery = time.Second

// lines writes log lines in the background, so that a slow reader of the output never holds a request up.
type lines struct {
	queue   chan []byte
	dropped atomic.Int64
}

// Write queues one line.
func (l *lines) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
		metrics.GetOrCreateCounter("router_log_lines_dropped_total").Inc()
	}
	return len(line), nil
}

// write writes what is queued to w, as many lines at a time as wait. There is nowhere left to report an error of the log's own
// output.
func (l *lines) write(w io.Writer) {
	var buffer []byte
	for line := range l.queue {
		buffer = append(buffer[:0], line...)
		for len(buffer) < logWrite && len(l.queue) > 0 {
			buffer = append(buffer, <-l.queue...)
		}
		_, _ = w.Write(buffer)
	}
}

// tell logs how many lines were dropped.
func (l *lines) tell(logger *log.Logger) {
	for range time.Tick(droppedEvery) {
		if n := l.dropped.Swap(0); n > 0 {
			logger.Warn().Int64("Lines", n).Msg("LogLinesDropped")
		}
	}
}

func newLogger(w io.Writer, level string, instance wire.InstanceName) *log.Logger {
	l := &lines{queue: make(chan []byte, logQueue)}
	logger := process.NewLogger(l, level, programName, string(instance))
	go l.write(w)
	go l.tell(logger)
	return logger
}

// decisions logs and counts the decisions on requests.
type decisions struct {
	logger *log.Logger
}

// Decided writes one line for a decision.
func (d decisions) Decided(x relay.Decision) {
	metrics.GetOrCreateCounter(`router_decisions_total{step="` + x.Step + `"}`).Inc()
	entry := d.logger.Info().
		Str("Request", string(x.Request)).
		Str("Route", x.Route).
		Str("Workspace", string(x.Workspace)).
		Str("Endpoint", string(x.Endpoint)).
		Int64("Version", int64(x.Version)).
		Int("Attempt", x.Attempt).
		Int64("AgeMillis", x.Age.Milliseconds()).
		Int64("LeftMillis", x.Left.Milliseconds())
	if x.Endpoint != "" {
		entry = entry.Int("Waiting", x.Waiting).Int("Unread", x.Unread)
	}
	if x.Pause > 0 {
		entry = entry.Int64("PauseMillis", x.Pause.Milliseconds())
	}
	if x.Status != 0 {
		entry = entry.Int("Status", x.Status)
	}
	if x.Reason != "" {
		entry = entry.Str("Reason", x.Reason)
	}
	entry.Err(x.Err).Msg(x.Step)
}

// DomainCut writes a line for a failure domain that is out of reach.
func (d decisions) DomainCut(name wire.DomainName, pause time.Duration) {
	metrics.GetOrCreateCounter(`router_domain_cuts_total{domain="` + string(name) + `"}`).Inc()
	d.logger.Warn().Str("Dependency", "Domain").Str("Domain", string(name)).Int64("PauseMillis", pause.Milliseconds()).
		Str("Reason", "several endpoints are out of reach").Msg("DependencyLost")
}

// DomainReached writes a line for a failure domain that is reached again.
func (d decisions) DomainReached(name wire.DomainName) {
	d.logger.Info().Str("Dependency", "Domain").Str("Domain", string(name)).Msg("DependencyRegained")
}

// suspected writes a line for an endpoint that is avoided, or no longer is, because peers do.
func (d decisions) suspected(e *roster.Endpoint, peers int, avoided bool) {
	d.logger.Info().Str("Endpoint", string(e.Entry().ID)).Int("Peers", peers).Bool("Avoided", avoided).Msg("EndpointSuspected")
}
