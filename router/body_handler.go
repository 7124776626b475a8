package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/intake"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
)

// defaultMaxBodyBytes bounds a request's body unless the configuration sets a limit.
const defaultMaxBodyBytes = 4 << 20

// openBody returns the body of a request, of which nothing has been read.
func (h *callerHandler) openBody(w http.ResponseWriter, r *http.Request, req *relay.Request) *requestBody {
	var limits route.Limits
	var workspace wire.WorkspaceName
	if t := h.relay.Table(); t != nil {
		limits = t.Limits
		if found := t.WorkspaceForKey(req.Key); found != nil {
			workspace = found.Name
		}
	}
	b := &requestBody{r: r, control: http.NewResponseController(w), hold: h.memory.Hold(workspace, req.ClientTimeout), limit: defaultMaxBodyBytes}
	if limits.MaxBody > 0 {
		b.limit = limits.MaxBody
	}
	timeout := bodyTime
	if req.ClientTimeout > 0 {
		timeout = min(timeout, req.ClientTimeout)
	}
	b.until = req.Arrived.Add(timeout)
	return b
}

// logMemory logs and counts that a body has waited for memory, or that there was none for it.
func (h *callerHandler) logMemory(req *relay.Request, b *requestBody, err error) {
	var full *intake.FullError
	outcome, size := "Taken", int64(len(req.Body))
	if errors.As(err, &full) {
		outcome, size = "Refused", full.Bytes
	} else if err != nil || b.hold.Waited == 0 {
		return
	}
	metrics.GetOrCreateCounter(`router_request_memory_total{outcome="` + outcome + `"}`).Inc()
	h.logger.Info().Str("Request", string(req.ID)).Int64("Bytes", size).Int64("Held", h.memory.Held()).Int64("Limit", h.memory.Limit()).
		Int64("WaitedMillis", b.hold.Waited.Milliseconds()).Str("Outcome", outcome).Msg("RequestMemory")
}

// refuseUnread refuses a request whose body was not read. It aborts the connection if the caller broke off, as no answer can reach it.
func (h *callerHandler) refuseUnread(w http.ResponseWriter, b *requestBody, err error) {
	var tooLong *http.MaxBytesError
	var full *intake.FullError
	var network net.Error
	if !errors.As(err, &full) {
		h.logger.Info().Str("Request", platform.RequestID(b.r.Header)).Err(err).Msg("RequestUnread")
	}
	switch {
	case b.r.Context().Err() != nil:
		w.Header().Set("Connection", "close")
		h.refuseEarly(w, b, relay.Refusal{Verdict: relay.NotRun, Reason: err.Error(), RetryAfter: lateRetryAfter})
	case errors.As(err, &full):
		h.refuseEarly(w, b, relay.Refusal{Verdict: relay.NotRun, Reason: "requests in progress fill the memory", RetryAfter: full.RetryAfter})
	case errors.As(err, &tooLong):
		w.Header().Set("Connection", "close")
		h.refuseEarly(w, b, relay.Refusal{Verdict: relay.TooLarge, Reason: fmt.Sprintf("the body exceeds %d bytes", tooLong.Limit)})
	case errors.As(err, &network) && network.Timeout():
		w.Header().Set("Connection", "close")
		platform.NewCaller(w).Refuse(relay.Refusal{Verdict: relay.NotRun, Reason: "the body did not come in time", RetryAfter: lateRetryAfter})
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("Connection", "close")
		platform.NewCaller(w).Refuse(relay.Refusal{Verdict: relay.Malformed, Reason: "the body cannot be read: " + err.Error()})
	}
}

// lateRetryAfter is when a caller should return whose body did not come in time, or whose wait for memory was ended.
const lateRetryAfter = 500 * time.Millisecond

// refuseEarly refuses a request of whose body a part may be still to come. The refusal is sent at once, and the rest is read and dropped, as
// the end of a connection with unread bytes may destroy the refusal. The connection is aborted if the rest does not come.
func (h *callerHandler) refuseEarly(w http.ResponseWriter, b *requestBody, refusal relay.Refusal) {
	b.hold.Release()
	if b.awaitsContinue() && !b.begun {
		platform.NewCaller(w).Refuse(refusal)
		return
	}
	if err := b.control.EnableFullDuplex(); err != nil {
		h.logger.Info().Str("Request", platform.RequestID(b.r.Header)).Err(err).Msg("RefusalDelayed")
	}
	platform.NewCaller(w).Refuse(refusal)
	if !b.discard() {
		panic(http.ErrAbortHandler)
	}
}
