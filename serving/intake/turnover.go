package intake

import "time"

// Bounds of the time after which callers are asked to return.
const (
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// unknownRetryAfter applies while no body has been returned.
	unknownRetryAfter = time.Second
)

// turnoverWeight is the weight of the latest body, as a divisor, in the mean time for which bodies are held.
const turnoverWeight = 8

// turnover knows for how long bodies of one class are held.
type turnover struct {
	mean time.Duration
}

// record takes a body into account that was held for d.
func (t *turnover) record(d time.Duration) {
	if t.mean == 0 {
		t.mean = d
		return
	}
	t.mean += (d - t.mean) / turnoverWeight
}

// timeFor returns in what time n of the held bytes are returned. It is not known while no body has been returned, or none is held.
func (t *turnover) timeFor(n, held int64) (d time.Duration, known bool) {
	if t.mean == 0 || held == 0 {
		return 0, false
	}
	return time.Duration(float64(t.mean) * float64(n) / float64(held)), true
}

// retryAfter returns when a caller should return whose room is expected in a known time, or in an unknown one.
func retryAfter(d time.Duration, known bool) time.Duration {
	if !known {
		return unknownRetryAfter
	}
	return min(max(d, minRetryAfter), maxRetryAfter)
}
