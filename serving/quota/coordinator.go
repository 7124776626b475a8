package quota

import (
	"math"
	"time"

	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
)

// Times of coordinators.
const (
	// adoptTime is how long a new coordinator waits for the level from the coordinators of other domains, or from its predecessor, before
	// it starts with an empty bucket. Instances that ask meanwhile use their local bucket.
	adoptTime = 150 * time.Millisecond
	// joinTime is how long a new process waits instead: it has not yet heard all its peers.
	joinTime = time.Second
	// allowanceLife is how long an instance may use an allowance. The coordinator keeps it in mind for allowanceKept, in which the
	// instance's reports of what it spent arrive.
	allowanceLife = 500 * time.Millisecond
	allowanceKept = time.Second
	// answersKept is how long the answers to asks are kept for those that are repeated.
	answersKept = 500 * time.Millisecond
)

// Allowances are granted while the level is above allowanceLevel of the burst and the workspace spends less than allowanceSpending of its
// rate. All together they are at most allowancePart of what the level is above that, and one is an allowanceDivisor-th of what is left.
const (
	allowanceLevel    = 0.5
	allowanceSpending = 0.5
	allowancePart     = 0.5
	allowanceDivisor  = 8
)

// client is what a coordinator knows of an instance that asks it, by its incarnation.
type client struct {
	report    counted
	recent    average
	allowance float64
	// until is when the allowance no longer counts.
	until time.Time
	heard time.Time
	// answers are those of the last asks by number.
	answers map[uint64]answered
}

type answered struct {
	answer Answer
	at     time.Time
}

// coordinator is an instance's state of a workspace whose coordinator it is, was, or may become.
type coordinator struct {
	bucket
	workspace wire.WorkspaceName
	// leads is set while this instance is the coordinator by its own view, since since. It is ready once it has a level to grant from.
	leads bool
	since time.Time
	ready bool
	// adopted is set once the level was taken from another coordinator.
	adopted bool
	clients map[wire.IncarnationId]*client
	// former holds the counts of other coordinators of the own domain.
	former *domain
	// total is what was granted and reported; sequence counts the Totals sent; sentTotal is the total that was sent last, at sentAt.
	total     float64
	sequence  uint64
	sentTotal float64
	sentAt    time.Time
	// history holds the total at the end of each of the last seconds, the newest first, and noted when that was.
	history [historySeconds]float64
	noted   time.Time
	// need is set until the other coordinators were asked for the level.
	need bool
}

func newCoordinator(name wire.WorkspaceName, q route.Quota, window time.Duration, now time.Time) *coordinator {
	return &coordinator{
		bucket:    bucket{quota: q, window: window, at: now, domains: map[wire.DomainName]*domain{}},
		workspace: name,
		clients:   map[wire.IncarnationId]*client{},
	}
}

// lead starts or ends the instance's time as the coordinator. A new one has an empty bucket until it has adopted a level. It awaits the totals of
// the other domains, and reserves the share of those that may be partitioned.
func (c *coordinator) lead(leads bool, others []wire.DomainName, now time.Time) {
	if leads == c.leads {
		return
	}
	for _, name := range others {
		if c.domains[name] == nil {
			c.domains[name] = newDomain(now)
		}
	}
	c.leads, c.since = leads, now
	if !leads {
		return
	}
	c.adopted, c.need = false, true
	if !c.ready {
		c.level, c.at = 0, now
	}
}

// settle makes a new coordinator ready that has waited for a level for long enough, and one that no longer leads forget its level once its
// successor had time to adopt it.
func (c *coordinator) settle(now time.Time, wait time.Duration) {
	switch {
	case c.leads && !c.ready && now.Sub(c.since) >= wait:
		c.ready = true
	case !c.leads && c.ready && now.Sub(c.since) > keptAfterLead:
		c.ready = false
		clear(c.clients)
	}
}

// historySeconds is longer than the platform's window.
const historySeconds = 12

// note keeps the history of the total.
func (c *coordinator) note(now time.Time) {
	if now.Sub(c.noted) < time.Second {
		return
	}
	c.noted = now
	copy(c.history[1:], c.history[:])
	c.history[0] = c.total
}

// recentTotal returns what was granted and reported of late, which is at least what was in the last window.
func (c *coordinator) recentTotal() float64 {
	return math.Max(c.total-c.history[historySeconds-1], 0)
}

// keptAfterLead is how long a former coordinator keeps its level: until all instances ask its successor.
const keptAfterLead = 3 * time.Second

// client returns the state of an instance.
func (c *coordinator) client(id wire.IncarnationId, now time.Time) *client {
	x := c.clients[id]
	if x == nil {
		x = &client{answers: map[uint64]answered{}}
		c.clients[id] = x
	}
	x.heard = now
	return x
}

// forgetClients drops instances that have not been heard for long, and answers that are no longer asked for.
func (c *coordinator) forgetClients(now time.Time) {
	for id, x := range c.clients {
		if now.Sub(x.heard) > clientKept {
			delete(c.clients, id)
			continue
		}
		for n, a := range x.answers {
			if now.Sub(a.at) > answersKept {
				delete(x.answers, n)
			}
		}
	}
}

// forgetCounts drops the counts of coordinators that have not been heard for long: each restart brings a new incarnation.
func (c *coordinator) forgetCounts(now time.Time) {
	for _, d := range c.domains {
		d.forgetCounts(now)
	}
	if c.former != nil {
		c.former.forgetCounts(now)
	}
}

func (d *domain) forgetCounts(now time.Time) {
	for id, n := range d.counts {
		if now.Sub(n.at) > countsKept {
			delete(d.counts, id)
		}
	}
}

// countsKept is how long the count of a coordinator is kept after its last packet. One that is heard again after longer counts as new: no more
// than it spent in the last historySeconds.
const countsKept = 10 * time.Minute

// clientKept is how long an instance's counts are kept after its last packet. It is longer than any repeated report is late.
const clientKept = 30 * time.Second

// ask answers an instance. A repeated ask gets the same answer and is granted once.
func (c *coordinator) ask(id wire.IncarnationId, a Ask, now time.Time) Answer {
	x := c.client(id, now)
	if old, ok := x.answers[a.Number]; ok {
		return old.answer
	}
	answer := Answer{Number: a.Number, Workspace: c.workspace}
	cost := math.Max(a.Cost, 0)
	if need := c.bucket.need(cost); c.level >= need {
		answer.Granted = true
		c.charge(x, cost, now)
	} else {
		answer.RetryAfter = seconds((need - c.level) / c.quota.Rate)
	}
	answer.Allowance = c.allowance(x, now)
	answer.Level, answer.Share = c.level, c.clientShare(x, now)
	x.answers[a.Number] = answered{answer, now}
	return answer
}

// cancel makes the answer to an ask void, and gives its cost back if it was granted. An ask that arrives later is not granted.
func (c *coordinator) cancel(id wire.IncarnationId, a Ask, now time.Time) {
	x := c.client(id, now)
	if old := x.answers[a.Number]; old.answer.Granted {
		c.charge(x, -math.Max(a.Cost, 0), now)
	}
	x.answers[a.Number] = answered{Answer{Number: a.Number, Workspace: c.workspace, Level: c.level, Share: c.clientShare(x, now)}, now}
}

// charge counts what an instance has spent.
func (c *coordinator) charge(x *client, cost float64, now time.Time) {
	c.spend(cost, now)
	c.total += cost
	x.recent.add(cost, now)
}

// clientShare returns an instance's share of the limit, by its share of what its domain spends.
func (c *coordinator) clientShare(x *client, now time.Time) float64 {
	own := c.own.value(now)
	if own <= 0 {
		return 0
	}
	return math.Min(x.recent.value(now)/own, 1) * c.ownShare(now)
}

// allowance returns what an instance may spend without asking, and counts it as given.
func (c *coordinator) allowance(x *client, now time.Time) float64 {
	x.allowance = 0
	free := (c.level - allowanceLevel*c.quota.Burst) * allowancePart / float64(len(c.domains)+1)
	if free <= 0 || c.spending(now) > allowanceSpending*c.quota.Rate*recentTime.Seconds() {
		return 0
	}
	for _, other := range c.clients {
		if now.Before(other.until) {
			free -= other.allowance
		}
	}
	if free <= 0 {
		return 0
	}
	x.allowance, x.until = free/allowanceDivisor, now.Add(allowanceLife+allowanceKept)
	return x.allowance
}

// report counts what an instance has spent without asking.
func (c *coordinator) report(id wire.IncarnationId, r Report, now time.Time) {
	x := c.client(id, now)
	if x.report.term == 0 {
		x.report.term, x.report.spent = r.Term, r.Known
	}
	spent := x.report.advance(r.Term, r.Sequence, r.Spent)
	if spent != 0 {
		c.charge(x, spent, now)
	}
}

// advance takes a newer count and returns the difference to the last one of the term, or 0 if the count is not newer.
func (n *counted) advance(term, sequence uint64, spent float64) float64 {
	switch {
	case term < n.term, term == n.term && sequence <= n.sequence:
		return 0
	case term > n.term:
		n.spent = 0
	}
	difference := spent - n.spent
	n.term, n.sequence, n.spent = term, sequence, spent
	return difference
}

// seconds returns a duration of n seconds, which is bounded.
func seconds(n float64) time.Duration {
	return time.Duration(math.Min(math.Max(n, 0), maxRetryAfter.Seconds()) * float64(time.Second))
}

// maxRetryAfter bounds when a refused client is told to return.
const maxRetryAfter = time.Hour
