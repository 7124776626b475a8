// Package problem writes refusals as RFC 9457 problem documents that say whether the request ran.
package problem

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"cowslipshunt.example/wire"
)

// Outcome tells whether a refused request can have run.
type Outcome string

// NotRun says that no endpoint ran any part of the request; Unknown says that one may have.
const (
	NotRun  Outcome = "NotRun"
	Unknown Outcome = "Unknown"
)

// HeaderOutcome carries the outcome beside the problem document.
const HeaderOutcome = "Outcome"

// Problem is a refusal.
type Problem struct {
	Title      string         `json:"title"`
	Status     int            `json:"status"`
	Detail     string         `json:"detail,omitempty"`
	Outcome    Outcome        `json:"Outcome"`
	Request    wire.RequestId `json:"RequestId,omitempty"`
	RetryAfter time.Duration  `json:"-"`
}

// New returns a refusal with a status and a detail.
func New(status int, outcome Outcome, format string, args ...any) *Problem {
	return &Problem{
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  fmt.Sprintf(format, args...),
		Outcome: outcome,
	}
}

// After sets how long the caller should wait before it tries again, and returns p.
func (p *Problem) After(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// Error names the status, the detail and the outcome.
func (p *Problem) Error() string {
	return fmt.Sprintf("%d %s: %s (%s)", p.Status, p.Title, p.Detail, p.Outcome)
}

// Write sends the refusal.
func (p *Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderOutcome, string(p.Outcome))
	if p.RetryAfter > 0 {
		seconds := int((p.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
