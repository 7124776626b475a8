package main

import (
	"io"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// logQueue is how many lines wait for the output; what comes beyond is dropped and counted.
const logQueue = 4096

// lines writes log lines in the background, so that a slow reader of the output never holds a request up.
type lines struct {
	queue   chan []byte
	dropped *metrics.Counter
}

// Write queues one line.
func (l *lines) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped.Inc()
	}
	return len(line), nil
}

func newLogger(w io.Writer, level string, instance wire.InstanceName) *log.Logger {
	l := &lines{queue: make(chan []byte, logQueue), dropped: metrics.GetOrCreateCounter("router_log_lines_dropped_total")}
	go func() {
		for line := range l.queue {
			// There is nowhere left to report an error of the log's own output.
			_, _ = w.Write(line)
		}
	}()
	return process.NewLogger(l, level, programName, string(instance))
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
	if x.Status != 0 {
		entry = entry.Int("Status", x.Status)
	}
	if x.Reason != "" {
		entry = entry.Str("Reason", x.Reason)
	}
	entry.Err(x.Err).Msg(x.Step)
}
