package quarantine

import (
	"maps"
	"time"

	"cowslipshunt.example/serving/roster"
)

// maxAlive bounds the proofs that are kept of peers.
const maxAlive = 1024

// alive is the proof that an endpoint has not crashed: it answered a run that was sent at a time.
type alive struct {
	sent   time.Time
	shares int
}

// Answered records that an endpoint has begun to answer a run that was sent at a time. Runs that broke off there before are no evidence:
// only their connections were lost.
func (t *Table) Answered(k roster.Key, sent time.Time) {
	if !t.active.Load() {
		return
	}
	e := hashEndpoint(k)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.log.dropBefore(e, sent) {
		t.alive[e] = &alive{sent: sent, shares: maxShares}
		t.updateExplained()
	}
}

// heardAlive takes a peer's proof that an endpoint has not crashed.
func (t *Table) heardAlive(e EndpointHash, sent time.Time) {
	if known, ok := t.alive[e]; ok && sent.After(known.sent) || !ok && len(t.alive) < maxAlive {
		t.alive[e] = &alive{sent: sent}
	}
	if t.log.dropBefore(e, sent) {
		t.updateExplained()
	}
}

// wasAlive reports whether an endpoint is known to have answered a run that was sent after a crash.
func (t *Table) wasAlive(c *crash) bool {
	a, known := t.alive[c.endpoint]
	return known && c.failed.Before(a.sent)
}

// shareAlive returns the proofs to report, and drops those that are too old to matter.
func (t *Table) shareAlive(now time.Time) []Alive {
	maps.DeleteFunc(t.alive, func(_ EndpointHash, a *alive) bool { return now.Sub(a.sent) > crashLifetime })
	var list []Alive
	for e, a := range t.alive {
		if a.shares == 0 || len(list) == maxSharedAlive {
			continue
		}
		a.shares--
		list = append(list, Alive{Endpoint: e, SentAge: now.Sub(a.sent).Milliseconds()})
	}
	return list
}
