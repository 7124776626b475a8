package main

import (
	"io"
	"testing"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/shared/process"
	"github.com/VictoriaMetrics/metrics"
)

// TestUnansweredRequestsAreCountedByReason guards against metrics that do not tell a stream that the instance cut from one whose client left.
func TestUnansweredRequestsAreCountedByReason(t *testing.T) {
	count := func(step, reason string) uint64 {
		return metrics.GetOrCreateCounter(`router_requests_unanswered_total{step="` + step + `",reason="` + reason + `"}`).Get()
	}
	d := decisionLog{process.NewLogger(io.Discard, "info", programName, "i")}
	for _, step := range []string{relay.StepAborted, relay.StepRefused} {
		before := count(step, "no endpoint is open")
		d.Decided(relay.Decision{Step: step, Reason: "no endpoint is open"})
		if n := count(step, "no endpoint is open") - before; n != 1 {
			t.Errorf("%s is counted %d times", step, n)
		}
	}
	d.Decided(relay.Decision{Step: "Answered", Reason: "none"})
	if count("Answered", "none") > 0 {
		t.Error("an answered request counts as unanswered")
	}
}
