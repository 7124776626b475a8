package intake

import (
	"context"
	"fmt"
	"time"

	"cowslipshunt.example/wire"
)

// Hold is what the body of one request holds of a budget. It is not safe for concurrent use.
type Hold struct {
	budget    *Budget
	workspace wire.WorkspaceName
	wait      time.Duration
	// n, and since when it is above 0, are guarded by the budget's lock.
	n     int64
	since time.Time
	// Waited is how long the body has waited for room.
	Waited time.Duration
}

// Grow makes the hold one of n bytes, which replace those that it has. It waits for room if that is expected soon. The error is a *FullError
// if there is none, or the cause of ctx's end; the hold then stays as it is.
func (h *Hold) Grow(ctx context.Context, n int64) error {
	return h.budget.reserve(ctx, h, n)
}

// Shrink returns what exceeds n bytes.
func (h *Hold) Shrink(n int64) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if n < h.n {
		b.set(h, n)
		b.grant()
	}
}

// Release returns all bytes of the hold.
func (h *Hold) Release() {
	h.Shrink(0)
}

// FullError reports that the body of a request does not fit into the budget.
type FullError struct {
	// Bytes is the size that was asked for, Held what all bodies hold, and Limit the size of the budget.
	Bytes, Held, Limit int64
	// RetryAfter is when room is expected.
	RetryAfter time.Duration
}

// Error states the sizes.
func (e *FullError) Error() string {
	return fmt.Sprintf("no memory for %d bytes: requests in progress hold %d of %d", e.Bytes, e.Held, e.Limit)
}
