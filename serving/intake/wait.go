package intake

import "context"

// reserve grants a claim now or within the hold's wait.
func (b *Budget) reserve(ctx context.Context, h *Hold, n int64) error {
	if b.takeNow(h, n) {
		return nil
	}
	c := &claim{hold: h, n: n, granted: make(chan struct{})}
	began := b.clock.Now()
	if err := b.enter(c); err != nil {
		return err
	}
	select {
	case <-c.granted:
		return nil
	default:
	}
	timer := b.clock.NewTimer(h.wait)
	defer timer.Stop()
	var err error
	select {
	case <-c.granted:
	case <-ctx.Done():
		err = b.leave(c, context.Cause(ctx))
	case <-timer.Chan():
		err = b.leave(c, nil)
	}
	h.Waited += b.clock.Since(began)
	return err
}

// takeNow gives a hold its bytes if they fit and nothing waits, and reports whether it did.
func (b *Budget) takeNow(h *Hold, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) > 0 || !b.fits(&claim{hold: h, n: n}) {
		return false
	}
	b.set(h, n)
	return true
}

// enter queues a claim, and grants it if it is next and fits. If the room that it needs is not expected within its wait, it returns a
// *FullError.
func (b *Budget) enter(c *claim) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, c)
	b.grant()
	select {
	case <-c.granted:
		return nil
	default:
	}
	if b.worthWaiting(c) {
		return nil
	}
	return b.refuse(c)
}

// worthWaiting reports whether room for a claim may come within its wait. While it is not known for how long bodies are held, no more wait than
// the budget could hold.
func (b *Budget) worthWaiting(c *claim) bool {
	missing := b.missing(c)
	soon, known := b.timeFor(c, missing)
	if !known {
		return c.hold.wait > 0 && missing <= b.limit
	}
	return soon < c.hold.wait
}

// leave ends the wait of a claim that has not been granted meanwhile, and returns cause, or a *FullError if that is nil.
func (b *Budget) leave(c *claim, cause error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-c.granted:
		return nil
	default:
	}
	err := b.refuse(c)
	if cause != nil {
		return cause
	}
	return err
}

// refuse removes a claim from those that wait.
func (b *Budget) refuse(c *claim) error {
	soon, known := b.timeFor(c, b.missing(c))
	b.remove(c)
	b.grant()
	return &FullError{Bytes: c.n, Held: b.small + b.large, Limit: b.limit, RetryAfter: retryAfter(soon, known)}
}
