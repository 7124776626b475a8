package main

import (
	"cmp"
	"net/http"
	"sync"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/shared/heads"
	"cowslipshunt.example/shared/process"
	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"golang.org/x/sys/unix"
)

// Bounds of heads and connections.
const (
	// headShare is the fraction of the instance's memory, as a divisor, that the heads of requests may take.
	headShare = 8
	// defaultMaxHead bounds a head until a configuration sets another limit; it is four times that of the known configurations.
	defaultMaxHead = 64 << 10
	// callerDescriptors is the fraction of the descriptors, as a divisor, that may be callers' connections. A request needs another one for
	// its endpoint, and the store and the duties need a few.
	callerDescriptors = 2
	// maxOperationsConns bounds the connections to the readiness check, and to the metrics: each has one client that asks once a second or so.
	maxOperationsConns = 16
	// refusalLogInterval is the interval in which one refusal of each reason is logged.
	refusalLogInterval = time.Second
)

// operationsLimits are the limits for heads of requests for the readiness check and for the metrics.
func operationsLimits() heads.Limits {
	return heads.Limits{MaxBytes: process.MaxHeaderBytes, Timeout: headerTimeout}
}

// headLimits returns the limits for heads of callers' requests. Limits of the configuration that are not positive count as missing.
func (n *node) headLimits() heads.Limits {
	l := heads.Limits{MaxBytes: defaultMaxHead, Timeout: headerTimeout}
	if t := n.relay.Table(); t != nil {
		l.MaxBytes = min(cmp.Or(max(t.Limits.MaxHead, 0), l.MaxBytes), maxHeaderBytes)
		l.Timeout = cmp.Or(max(t.Limits.HeadTimeout, 0), l.Timeout)
	}
	return l
}

// maxConns returns how many connections may be open to all listeners.
func maxConns(s *platform.Settings) int {
	descriptors := s.MaxDescriptors
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil && (descriptors == 0 || limit.Cur < uint64(descriptors)) {
		descriptors = int(min(limit.Cur, 1<<20))
	}
	return max(descriptors/callerDescriptors, 1)
}

// newHeadBudget returns the budget for the heads of requests.
func newHeadBudget(s *platform.Settings, logger *log.Logger) *heads.Budget {
	observer := &refusalLog{logger: logger, last: map[heads.Reason]time.Time{}}
	b := heads.New(cmp.Or(s.MemoryBytes, defaultMemoryBytes)/headShare, maxConns(s), encodeHeadRefusal, observer.observe)
	metrics.GetOrCreateGauge("router_request_head_bytes", func() float64 { return float64(b.Held()) })
	metrics.GetOrCreateGauge("router_connections", func() float64 { return float64(b.Open()) })
	return b
}

// encodeHeadRefusal returns the response to a head that was not read. None of these requests has run.
func encodeHeadRefusal(r heads.Refusal) []byte {
	switch r.Reason {
	case heads.TooLarge:
		return platform.EncodeRefusal(http.StatusRequestHeaderFieldsTooLarge, relay.Refusal{Verdict: relay.TooLarge, Reason: "the head exceeds the limit"})
	case heads.Framing:
		return platform.EncodeRefusal(http.StatusBadRequest, relay.Refusal{Verdict: relay.Malformed, Reason: "the head has a Content-Length and a Transfer-Encoding"})
	case heads.TooSlow:
		return platform.EncodeRefusal(http.StatusRequestTimeout, relay.Refusal{Verdict: relay.NotRun, Reason: "the head did not come in time"})
	}
	reason := "heads of requests fill the memory"
	if r.Reason == heads.Connections {
		reason = "too many connections"
	}
	return platform.EncodeRefusal(http.StatusServiceUnavailable, relay.Refusal{Verdict: relay.NotRun, Reason: reason, RetryAfter: r.RetryAfter})
}

// refusalLog counts all refusals of heads, and logs one of each reason in refusalLogInterval, with the number of those that it passed over.
type refusalLog struct {
	logger *log.Logger

	mu      sync.Mutex
	last    map[heads.Reason]time.Time
	skipped int
}

func (l *refusalLog) observe(r heads.Refusal) {
	metrics.GetOrCreateCounter(`router_head_refusals_total{reason="` + string(r.Reason) + `"}`).Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.last[r.Reason]) < refusalLogInterval {
		l.skipped++
		return
	}
	l.last[r.Reason] = now
	l.logger.Info().Str("Caller", r.Remote.String()).Str("Reason", string(r.Reason)).Bool("Silent", r.Silent).Int64("Bytes", r.Cost).
		Int64("Held", r.Held).Int("Connections", r.Open).Int("Skipped", l.skipped).Msg("HeadRefused")
	l.skipped = 0
}
