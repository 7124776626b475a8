package main

import (
	"io"
	"sync/atomic"
	"time"

	"cowslipshunt.example/serving/quarantine"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/shared/connections"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// logQueueLines is the largest number of lines that are queued for the output. Further lines are dropped and counted.
const logQueueLines = 4096

// logBatchBytes is the size, in bytes, from which no more lines are added to a batch: the capacity of a pipe.
const logBatchBytes = 64 << 10

// droppedLogInterval is the interval at which the number of dropped lines is logged, if there are any.
const droppedLogInterval = time.Second

// asyncWriter writes log lines in the background, so that a slow reader of the output never delays a request.
type asyncWriter struct {
	queue   chan []byte
	dropped atomic.Int64
}

// Write queues one line, or drops and counts it if the queue is full. It never blocks and never fails.
func (a *asyncWriter) Write(line []byte) (int, error) {
	select {
	case a.queue <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
		metrics.GetOrCreateCounter("router_log_lines_dropped_total").Inc()
	}
	return len(line), nil
}

// drain writes queued lines to w in batches, each of the lines that are waiting. Write errors are ignored, as there is no other
// output to report them on.
func (a *asyncWriter) drain(w io.Writer) {
	var batch []byte
	for line := range a.queue {
		batch = append(batch[:0], line...)
		for len(batch) < logBatchBytes && len(a.queue) > 0 {
			batch = append(batch, <-a.queue...)
		}
		_, _ = w.Write(batch)
	}
}

// logDropped logs the number of dropped lines every droppedLogInterval.
func (a *asyncWriter) logDropped(logger *log.Logger) {
	for range time.Tick(droppedLogInterval) {
		if n := a.dropped.Swap(0); n > 0 {
			logger.Warn().Int64("Lines", n).Msg("LogLinesDropped")
		}
	}
}

func newLogger(w io.Writer, level string, instance wire.InstanceName) *log.Logger {
	a := &asyncWriter{queue: make(chan []byte, logQueueLines)}
	logger := process.NewLogger(a, level, programName, string(instance))
	go a.drain(w)
	go a.logDropped(logger)
	return logger
}

// decisionLog logs and counts the relay's decisions on requests. It implements relay.Observer.
type decisionLog struct {
	logger *log.Logger
}

// Decided logs and counts one decision on a request.
func (d decisionLog) Decided(decision relay.Decision) {
	metrics.GetOrCreateCounter(`router_decisions_total{step="` + decision.Step + `"}`).Inc()
	if decision.Step == relay.StepAborted || decision.Step == relay.StepRefused {
		metrics.GetOrCreateCounter(`router_requests_unanswered_total{step="` + decision.Step + `",reason="` + decision.Reason + `"}`).Inc()
	}
	entry := d.logger.Info().
		Str("Request", string(decision.Request)).
		Str("Route", decision.Route).
		Str("Workspace", string(decision.Workspace)).
		Str("Endpoint", string(decision.Endpoint)).
		Int64("Version", int64(decision.Version)).
		Int("Attempt", decision.Attempt).
		Int64("AgeMillis", decision.Age.Milliseconds()).
		Int64("LeftMillis", decision.Left.Milliseconds())
	if decision.Endpoint != "" {
		entry = entry.Int("Waiting", decision.Waiting).Int("Unread", decision.Unread)
	}
	if decision.Pause > 0 {
		entry = entry.Int64("PauseMillis", decision.Pause.Milliseconds())
	}
	if decision.Held > 0 {
		entry = entry.Int64("HeldMillis", decision.Held.Milliseconds())
	}
	if decision.Status != 0 {
		entry = entry.Int("Status", decision.Status)
	}
	if len(decision.Parts) > 0 {
		entry = entry.Int("Events", decision.Events).Strs("Parts", decision.Parts)
	}
	if decision.Budget != nil {
		entry = entry.Int("Retries", decision.Budget.Retries).Float64("RetriesAllowed", decision.Budget.Allowed)
	}
	if decision.Reason != "" {
		entry = entry.Str("Reason", decision.Reason)
	}
	entry.Err(decision.Err).Msg(decision.Step)
}

// DomainUnreachable logs and counts that a failure domain is unreachable and is avoided for pause.
func (d decisionLog) DomainUnreachable(name wire.DomainName, pause time.Duration) {
	metrics.GetOrCreateCounter(`router_domain_cuts_total{domain="` + string(name) + `"}`).Inc()
	d.logger.Warn().Str("Dependency", "Domain").Str("Domain", string(name)).Int64("PauseMillis", pause.Milliseconds()).
		Str("Reason", "several endpoints are out of reach").Msg("DependencyLost")
}

// DomainReachable logs that a failure domain is reachable again.
func (d decisionLog) DomainReachable(name wire.DomainName) {
	d.logger.Info().Str("Dependency", "Domain").Str("Domain", string(name)).Msg("DependencyRegained")
}

// EndpointNoticed logs and counts what an endpoint has said about itself in an answer.
func (d decisionLog) EndpointNoticed(n relay.Notice) {
	entry := d.logNotice(n.Endpoint, n.Step, n.Source).Str("Request", string(n.Request))
	if n.Pause > 0 {
		entry = entry.Int64("PauseMillis", n.Pause.Milliseconds()).Time("Until", n.Until)
	}
	entry.Err(n.Err).Msg(n.Step)
}

// Panicked logs and counts a panic in asking another endpoint for a request.
func (d decisionLog) Panicked(id wire.RequestId, value any) {
	logPanic(d.logger, "handover", string(id), value)
}

// logLeavingByPeer logs and counts that a peer has reported that an endpoint leaves.
func (d decisionLog) logLeavingByPeer(k roster.Key, from wire.InstanceName) {
	d.logNotice(k, "EndpointLeaving", "peer").Str("Peer", string(from)).Msg("EndpointLeaving")
}

// logNotice counts a change of what is believed of an endpoint and returns the line that logs it.
func (d decisionLog) logNotice(k roster.Key, step, source string) *log.Entry {
	metrics.GetOrCreateCounter(`router_endpoint_notices_total{step="` + step + `",source="` + source + `"}`).Inc()
	return d.logger.Info().Str("Endpoint", string(k.ID)).Int64("Born", k.Born).Str("Source", source)
}

// logSuspected logs that an endpoint is avoided, or no longer is, because of the number of peers that avoid it.
func (d decisionLog) logSuspected(e *roster.Endpoint, peers int, avoided bool) {
	d.logger.Info().Str("Endpoint", string(e.Entry().ID)).Int("Peers", peers).Bool("Avoided", avoided).Msg("EndpointSuspected")
}

// logSpeed logs that the learned speed of an engine has changed, by a sample of a peer unless from is empty. Those of peers have a line at each
// peer, so that they are logged at the level debug here: with 79 instances they were most of all lines.
func (d decisionLog) logSpeed(e *roster.Endpoint, from wire.InstanceName) {
	entry := d.logger.Info()
	if from != "" {
		entry = d.logger.Debug()
	}
	entry.Str("Endpoint", string(e.Entry().ID)).Float64("Speed", e.Speed(time.Now())).Str("Peer", string(from)).Msg("EndpointSpeed")
}

// logQuarantine logs and counts a change of the prompt parts that are in quarantine.
func (d decisionLog) logQuarantine(c quarantine.Change) {
	metrics.GetOrCreateCounter(`router_quarantine_changes_total{event="` + c.Event.String() + `"}`).Inc()
	ids := make([]string, 0, len(c.Parts))
	for _, p := range c.Parts {
		ids = append(ids, p.String())
	}
	d.logger.Warn().Str("Event", c.Event.String()).Strs("PartIds", ids).Int("Crashes", c.Crashes).Bool("FromPeer", c.FromPeer).
		Int64("LeftMillis", c.Left.Milliseconds()).Msg("PromptQuarantine")
}

// logClosedUnread logs and counts a request that was not read, or only in part, when this instance closed its connection.
func (d decisionLog) logClosedUnread(u connections.Unread) {
	metrics.GetOrCreateCounter(`router_closed_unread_total{reason="` + string(u.Reason) + `"}`).Inc()
	d.logger.Info().Str("Caller", u.Remote.String()).Str("Reason", string(u.Reason)).Bool("Begun", u.Begun).
		Int64("IdleMillis", u.Idle.Milliseconds()).Msg("ClosedUnread")
}
