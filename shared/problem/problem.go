// Package problem writes error answers as RFC 9457 problem documents that say whether the request may have been executed.
package problem

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"cowslipshunt.example/wire"
)

// Outcome is whether a failed request may have been executed.
type Outcome string

// Values of Outcome.
const (
	// NotRun means that no endpoint executed any part of the request.
	NotRun Outcome = "NotRun"
	// Unknown means that an endpoint may have executed part of the request or all of it.
	Unknown Outcome = "Unknown"
)

// HeaderOutcome is the header that repeats the problem document's outcome.
const HeaderOutcome = "Outcome"

// Problem is an error answer to a request.
type Problem struct {
	Title      string         `json:"title"`
	Status     int            `json:"status"`
	Detail     string         `json:"detail,omitempty"`
	Outcome    Outcome        `json:"Outcome"`
	Request    wire.RequestId `json:"RequestId,omitempty"`
	RetryAfter time.Duration  `json:"-"`
}

// New returns a Problem with a status, an outcome and a formatted detail.
func New(status int, outcome Outcome, format string, args ...any) *Problem {
	return &Problem{
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  fmt.Sprintf(format, args...),
		Outcome: outcome,
	}
}

// After sets how long the caller should wait before it retries, and returns p.
func (p *Problem) After(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// Error names the status, the detail and the outcome.
func (p *Problem) Error() string {
	return fmt.Sprintf("%d %s: %s (%s)", p.Status, p.Title, p.Detail, p.Outcome)
}

// Write sends the problem document as the answer. It rounds RetryAfter up to whole seconds.
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
