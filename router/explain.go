package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// explainPath is where the metrics listener explains where a request would go.
const explainPath = "/explain"

// maxQuestionTokens bounds the token counts of a question, so that sums do not overflow.
const maxQuestionTokens = 1 << 30

// explanation is the answer to a question, in milliseconds.
type explanation struct {
	Outcome       relay.Outcome      `json:"Outcome"`
	Verdict       string             `json:"Verdict,omitempty"`
	Reason        string             `json:"Reason,omitempty"`
	RetryAfter    float64            `json:"RetryAfterMillis,omitempty"`
	Version       int64              `json:"Version"`
	Route         string             `json:"Route,omitempty"`
	Workspace     wire.WorkspaceName `json:"Workspace,omitempty"`
	Rank          int                `json:"Rank"`
	Service       wire.ServiceName   `json:"Service,omitempty"`
	Contended     bool               `json:"Contended"`
	Timeout       float64            `json:"TimeoutMillis"`
	Peers         int                `json:"Peers"`
	NewestReport  float64            `json:"NewestReportAgeMillis"`
	OldestReport  float64            `json:"OldestReportAgeMillis"`
	Choices       []explainedChoice  `json:"Choices"`
	ChosenPrefill wire.EndpointId    `json:"ChosenPrefill,omitempty"`
	Chosen        wire.EndpointId    `json:"Chosen,omitempty"`
}

// explainedChoice is the choice of one endpoint.
type explainedChoice struct {
	Stage     string              `json:"Stage"`
	Chosen    wire.EndpointId     `json:"Chosen,omitempty"`
	Endpoints []explainedEndpoint `json:"Endpoints"`
	// Unavailable are the endpoints that get no requests now.
	Unavailable []wire.EndpointId `json:"Unavailable,omitempty"`
}

// explainedEndpoint is what is known of one endpoint. The age of what the peers have there is that of their reports.
type explainedEndpoint struct {
	Endpoint  wire.EndpointId `json:"Endpoint"`
	Domain    wire.DomainName `json:"Domain"`
	Candidate bool            `json:"Candidate"`
	Rank      int             `json:"Rank"`
	Cost      float64         `json:"CostMillis"`
	Prefill   float64         `json:"PrefillMillis"`
	Queued    int             `json:"QueuedTokens"`
	OwnQueued int             `json:"OwnQueuedTokens"`
	InFlight  int             `json:"InFlight"`
	Uncached  int             `json:"UncachedTokens"`
	Speed     float64         `json:"Speed"`
	Learned   bool            `json:"SpeedLearned"`
	SpeedAge  float64         `json:"SpeedAgeMillis"`
}

// serveExplain answers a question about a request. It changes nothing.
func (n *node) serveExplain(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuestion(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	now := time.Now()
	x := newExplanation(n.relay.Explain(q), now)
	var newest, oldest time.Duration
	x.Peers, newest, oldest = n.peerLoads.ReportAges(now)
	x.NewestReport, x.OldestReport = inMillis(newest), inMillis(oldest)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(x)
}

// newExplanation returns an explanation with what is known of its endpoints now.
func newExplanation(x *relay.Explanation, now time.Time) *explanation {
	out := &explanation{
		Outcome: x.Outcome, Reason: x.Reason, RetryAfter: inMillis(x.RetryAfter), Version: int64(x.Version), Route: x.Route,
		Workspace: x.Workspace, Rank: x.Rank, Service: x.Service, Contended: x.Contended, Timeout: inMillis(x.Timeout), Choices: []explainedChoice{},
	}
	if x.Outcome == relay.OutcomeRefuse {
		out.Verdict = x.Verdict.String()
	}
	for _, c := range x.Choices {
		choice := explainedChoice{Stage: c.Stage.String(), Endpoints: []explainedEndpoint{}}
		if c.Chosen != nil {
			choice.Chosen = c.Chosen.Entry().ID
			if out.Chosen = choice.Chosen; c.Stage == roster.Prefill {
				out.ChosenPrefill, out.Chosen = choice.Chosen, ""
			}
		}
		for _, cost := range c.Costs {
			choice.Endpoints = append(choice.Endpoints, explainEndpoint(cost, now))
		}
		for _, e := range c.Unavailable {
			choice.Unavailable = append(choice.Unavailable, e.Entry().ID)
		}
		out.Choices = append(out.Choices, choice)
	}
	return out
}

func explainEndpoint(c placement.Cost, now time.Time) explainedEndpoint {
	e := c.Endpoint
	age, learned := e.SpeedAge(now)
	return explainedEndpoint{
		Endpoint: e.Entry().ID, Domain: e.Entry().Domain, Candidate: c.Candidate, Rank: c.Rank, Cost: inMillis(c.Cost), Prefill: inMillis(c.Prefill),
		Queued: e.PrefillLoad(), OwnQueued: e.OwnPrefillLoad(), InFlight: e.InFlight(), Uncached: c.Uncached, Speed: e.Speed(now), Learned: learned,
		SpeedAge: inMillis(age),
	}
}

func inMillis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// parseQuestion parses the parameters of a question. The error names the parameter.
func parseQuestion(v url.Values) (*relay.Question, error) {
	for name := range v {
		switch name {
		case "host", "path", "workspace", "timeout", "tokens", "output", "parts":
		default:
			return nil, fmt.Errorf("%s: unknown parameter", name)
		}
	}
	q := &relay.Question{Host: v.Get("host"), Path: v.Get("path"), Workspace: wire.WorkspaceName(v.Get("workspace"))}
	if q.Host == "" {
		return nil, errors.New("host: is missing")
	}
	if !strings.HasPrefix(q.Path, "/") {
		return nil, errors.New("path: must begin with a slash")
	}
	if text := v.Get("timeout"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return nil, fmt.Errorf("timeout: %q is no positive duration such as 8s", text)
		}
		q.ClientTimeout = d
	}
	tokens, err := parseTokens("tokens", v.Get("tokens"))
	if err != nil {
		return nil, err
	}
	output, err := parseTokens("output", v.Get("output"))
	if err != nil {
		return nil, err
	}
	parts, err := parseParts(v.Get("parts"))
	if err != nil {
		return nil, err
	}
	q.Prompt = placement.NewPrompt(tokens, output, parts)
	return q, nil
}

// parseTokens parses a number of tokens; an empty text is 0.
func parseTokens(name, text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > maxQuestionTokens {
		return 0, fmt.Errorf("%s: %q is no number of tokens from 0 to %d", name, text, maxQuestionTokens)
	}
	return n, nil
}

// parseParts parses the parts of a prompt, such as a:8000,b:1000.
func parseParts(text string) ([]placement.Part, error) {
	if text == "" {
		return nil, nil
	}
	var parts []placement.Part
	for entry := range strings.SplitSeq(text, ",") {
		name, length, found := strings.Cut(entry, ":")
		if !found || name == "" || length == "" {
			return nil, fmt.Errorf("parts: %q is no part such as a:8000", entry)
		}
		n, err := parseTokens("parts", length)
		if err != nil {
			return nil, err
		}
		parts = append(parts, placement.Part{Name: name, Tokens: n})
	}
	return parts, nil
}
