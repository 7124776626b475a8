package proof

import (
	"net/http"
	"testing"

	"cowslipshunt.example/wire"
)

// usageTotal sums the usage of a workspace and model in the platform's usage table.
func (s *system) usageTotal(workspace, model string) wire.UsageFigure {
	var answer wire.RowsAnswer
	res := newCaller("").call(http.MethodPost, s.platformAddress, "/table/scan", `{"Table":"usage","Prefix":"","After":"","Limit":1000}`, http.Header{"Content-Type": {"application/json"}})
	decodeJSON(res.body, &answer)
	total := wire.UsageFigure{}
	for _, r := range answer.Rows {
		var row wire.UsageRow
		decodeJSON(string(r.Value), &row)
		for _, f := range row.Totals.Figures {
			if string(f.Workspace) == workspace && string(f.Model) == model {
				total.Requests += f.Requests
				total.PromptTokens += f.PromptTokens
				total.OutputTokens += f.OutputTokens
				total.Cost += f.Cost
			}
		}
	}
	return total
}

// TestDisconnectedCallerIsBilledForOutput disconnects a caller in the middle of a stream. The caller is billed for the
// prompt and for the output produced until then, and the engine's work is cancelled.
func TestDisconnectedCallerIsBilledForOutput(t *testing.T) {
	s := newReadySystem(t, smallPlan())
	c := newCaller(testKey)
	r, err := c.request(http.MethodPost, s.instances[0].address, "/v1/chat/completions", chatBody("three prompt words", 1000, true), nil)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := c.http.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := answer.Body.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	answer.Body.Close()
	var bill wire.UsageFigure
	eventually(t, "the bill is in the table", func() bool {
		bill = s.usageTotal(testWorkspace, testModel)
		return bill.Requests > 0
	})
	if bill.Requests != 1 || bill.PromptTokens != 3 || bill.OutputTokens < 1 || bill.OutputTokens > 200 {
		t.Errorf("the bill is %+v", bill)
	}
	cancelled := func() bool {
		runs := s.engineRuns()
		return len(runs) == 1 && runs[0].Cancelled
	}
	eventually(t, "the engine's work is cancelled", cancelled)
}
