package main

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/shared/process"
	"github.com/VictoriaMetrics/metrics"
)

// TestUnansweredRequestsAreCountedByReason guards against metrics that do not tell a stream that the instance cut from one whose client left.
func TestUnansweredRequestsAreCountedByReason(t *testing.T) {
	d := decisionLog{process.NewLogger(io.Discard, "info", programName, "i")}
	d.Decided(relay.Decision{Step: relay.StepAborted, Reason: "no endpoint is open"})
	d.Decided(relay.Decision{Step: relay.StepRefused, Reason: "NotRun: no endpoint is open"})
	d.Decided(relay.Decision{Step: "Answered"})
	var b bytes.Buffer
	metrics.WritePrometheus(&b, false)
	for _, want := range []string{
		`router_requests_unanswered_total{step="Aborted",reason="no endpoint is open"} 1`,
		`router_requests_unanswered_total{step="Refused",reason="NotRun: no endpoint is open"} 1`,
	} {
		if !strings.Contains(b.String(), want+"\n") {
			t.Errorf("the metrics lack %s", want)
		}
	}
	if strings.Contains(b.String(), `step="Answered",reason`) {
		t.Error("an answered request counts as unanswered")
	}
}
