package quota

import (
	"context"
	"math/rand/v2"
	"time"

	"cowslipshunt.example/serving/route"
)

// Take takes the cost of a request from the quota of its workspace. The error is a *RefusedError, or that of ctx. It waits for the
// coordinator of the failure domain for at most askTimeout x askAttempts.
func (m *Manager) Take(ctx context.Context, w *route.Workspace, cost Cost) (*Grant, error) {
	asked, granted, err := m.decide(w, cost)
	if err != nil || granted {
		return m.grant(w, cost, m.now(), err)
	}
	for attempt := 1; ; attempt++ {
		timer := m.clock.NewTimer(askTimeout)
		select {
		case answer := <-asked.answer:
			timer.Stop()
			if answer.Number == 0 {
				return m.takeWithout(w, cost, asked)
			}
			return m.conclude(w, cost, asked, answer)
		case <-ctx.Done():
			timer.Stop()
			m.abandon(asked)
			return nil, ctx.Err()
		case <-timer.Chan():
		}
		if attempt == askAttempts {
			return m.takeWithout(w, cost, asked)
		}
		m.repeat(asked)
	}
}

// grant returns the result of Take.
func (m *Manager) grant(w *route.Workspace, cost Cost, given time.Time, err error) (*Grant, error) {
	if err != nil {
		return nil, err
	}
	return &Grant{manager: m, workspace: w.Name, cost: cost, given: given}, nil
}

// decide decides on a request if that is possible without asking another instance. Otherwise it has asked the coordinator.
func (m *Manager) decide(w *route.Workspace, cost Cost) (asked *askedRequest, granted bool, err error) {
	m.mu.Lock()
	defer m.flush()
	now := m.now()
	a := m.account(w.Name, w.Quota, now)
	if a.coordinator == "" {
		m.peers.refresh(m, now)
		a.follow(m.peers.leader(w.Name, m.self.Domain))
	}
	if a.useAllowance(cost.Amount, now) {
		if now.After(a.renewAt) {
			a.renewAt = a.allowedUntil
			m.ask(a, 0, now, false)
		}
		return nil, true, m.count(a, cost, nil)
	}
	if a.coordinator == m.self.Address {
		c := m.coordinators[w.Name]
		if c == nil || !c.ready {
			err = m.takeLocal(a, cost, now)
			return nil, err == nil, err
		}
		c.advance(now, m.peers.alive)
		m.number++
		answer := c.ask(m.incarnation, Ask{Number: m.number, Workspace: w.Name, Cost: cost.Amount}, now)
		m.urgentTotals(c, now)
		a.takeAnswer(answer, &askedRequest{at: now, sent: a.sent, term: a.term}, now)
		err = m.result(a, cost, answer)
		return nil, err == nil, err
	}
	if a.local && a.timeouts >= silentTimeouts {
		err = m.takeLocal(a, cost, now)
		return nil, err == nil, err
	}
	return m.ask(a, cost.Amount, now, true), false, nil
}

// ask asks the coordinator.
func (m *Manager) ask(a *account, cost float64, now time.Time, waits bool) *askedRequest {
	m.number++
	x := &askedRequest{number: m.number, account: a, cost: cost, at: now, sent: a.sent, term: a.term}
	if waits {
		x.answer = make(chan Answer, 1)
	}
	m.asked[m.number] = x
	p := m.packet(a.coordinator)
	p.Asks = append(p.Asks, Ask{Number: m.number, Workspace: a.workspace, Cost: cost})
	return x
}

// repeat sends an ask again.
func (m *Manager) repeat(x *askedRequest) {
	m.mu.Lock()
	defer m.flush()
	p := m.packet(x.account.coordinator)
	p.Asks = append(p.Asks, Ask{Number: x.number, Workspace: x.account.workspace, Cost: x.cost})
}

// abandon records that a request no longer waits for an answer, and cancels the ask.
func (m *Manager) abandon(x *askedRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.abandonLocked(x)
}

func (m *Manager) abandonLocked(x *askedRequest) {
	x.abandoned = true
	if x.term == x.account.term {
		x.account.cancel(Ask{Number: x.number, Workspace: x.account.workspace, Cost: x.cost})
	}
}

// conclude turns an answer into the result of Take.
func (m *Manager) conclude(w *route.Workspace, cost Cost, asked *askedRequest, answer Answer) (*Grant, error) {
	m.mu.Lock()
	err := m.result(m.account(w.Name, w.Quota, m.now()), cost, answer)
	m.mu.Unlock()
	return m.grant(w, cost, asked.at, err)
}

// takeWithout decides on a request whose coordinator did not answer.
func (m *Manager) takeWithout(w *route.Workspace, cost Cost, x *askedRequest) (*Grant, error) {
	m.mu.Lock()
	now := m.now()
	m.abandonLocked(x)
	a := m.account(w.Name, w.Quota, now)
	a.timeouts++
	err := m.takeLocal(a, cost, now)
	m.mu.Unlock()
	return m.grant(w, cost, now, err)
}

// takeLocal decides by the local bucket.
func (m *Manager) takeLocal(a *account, cost Cost, now time.Time) error {
	a.startLocal(len(m.peers.list), now)
	a.decidedLocally++
	ok, retryAfter := a.takeLocal(cost.Amount, now)
	if ok {
		return m.count(a, cost, nil)
	}
	return m.count(a, cost, m.refusal(a, cost, retryAfter, a.bucket, true))
}

// result returns the error of Take for an answer.
func (m *Manager) result(a *account, cost Cost, answer Answer) error {
	if answer.Granted {
		return m.count(a, cost, nil)
	}
	return m.count(a, cost, m.refusal(a, cost, answer.RetryAfter, answer.Level, false))
}

// Bounds of the random time that is added to Retry-After, so that refused callers do not all return together.
const (
	jitterPart = 0.25
	minJitter  = 20 * time.Millisecond
	maxJitter  = 2 * time.Second
)

func (m *Manager) refusal(a *account, cost Cost, after time.Duration, level float64, local bool) *RefusedError {
	jitter := min(max(time.Duration(jitterPart*float64(after)), minJitter), maxJitter)
	after += time.Duration(rand.Float64() * float64(jitter))
	return &RefusedError{Workspace: a.workspace, RetryAfter: after, Level: level, Cost: cost.Amount, Unit: cost.Unit, Local: local}
}

// count counts a decision for the statistics and returns its error.
func (m *Manager) count(a *account, cost Cost, refused *RefusedError) error {
	if refused != nil {
		a.refused++
		return refused
	}
	a.spentAll += cost.Amount
	return nil
}
