package quota

import (
	"math"
	"time"

	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
)

// Times of the exchange between coordinators.
const (
	// silentAfter is how long the coordinator of another domain may be silent while the workspace is active: three of the keep-alives that
	// coordinators send every keepAlive may be lost or late before its share is reserved. An instance that has used up its processor time
	// pauses for up to 0.1 s.
	silentAfter = 400 * time.Millisecond
	keepAlive   = 100 * time.Millisecond
	// cutReserve is how long the share of a domain stays reserved if all its instances are silent: it may be partitioned and still spend.
	cutReserve = 30 * time.Second
	// idleAfter is how long after the last spending coordinators stop sending keep-alives.
	idleAfter = 10 * time.Second
	// recentTime is the time constant of the average of what a domain or an instance spends.
	recentTime = 4 * time.Second
)

// evenShare is the part of the limit that is divided evenly among the domains, whatever they spend, so that traffic that moves to another
// domain during a partition gets something.
const evenShare = 0.05

// average is an exponentially decaying sum.
type average struct {
	sum float64
	at  time.Time
}

func (a *average) add(x float64, now time.Time) {
	a.sum = math.Max(a.value(now)+x, 0)
	a.at = now
}

func (a *average) value(now time.Time) float64 {
	if a.sum == 0 {
		return 0
	}
	return a.sum * math.Exp(-float64(max(now.Sub(a.at), 0))/float64(recentTime))
}

// counted is the newest count of one sender.
type counted struct {
	term, sequence uint64
	spent          float64
	at             time.Time
}

// domain is what a bucket knows of another failure domain.
type domain struct {
	heard  time.Time
	counts map[wire.IncarnationId]*counted
	recent average
	// silent is set while the domain's coordinator is silent; share is the share of the limit that is reserved for it until until.
	silent bool
	share  float64
	until  time.Time
	// silentSince is when the domain was found to be silent.
	silentSince time.Time
	// reserved is what was taken from the level since the domain was heard, for what it may have spent.
	reserved float64
	// lost is what the bucket could not hold since the domain was heard. What the domain spent meanwhile counts against that first.
	lost float64
}

// bucket is a token bucket for a workspace, which several coordinators keep each for itself.
type bucket struct {
	quota  route.Quota
	window time.Duration
	level  float64
	at     time.Time
	// active is when anything was last spent, activeSince when that began after a pause of idleAfter.
	active, activeSince time.Time
	own                 average
	domains             map[wire.DomainName]*domain
}

// advance fills the bucket until now, except for what is reserved for domains that are silent. alive reports whether any instance of a
// domain is heard.
func (b *bucket) advance(now time.Time, alive func(wire.DomainName) bool) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	b.at = now
	fill := b.quota.Rate * elapsed.Seconds()
	free := 1.0
	for name, d := range b.domains {
		b.noteSilence(name, d, now, alive)
		if d.silent && now.Before(d.until) {
			d.reserved += d.share * fill
			free -= d.share
		}
	}
	b.level += math.Max(free, 0) * fill
	b.cap()
}

// cap drops what the bucket cannot hold.
func (b *bucket) cap() {
	over := b.level - b.quota.Burst
	if over <= 0 {
		return
	}
	b.level = b.quota.Burst
	for _, d := range b.domains {
		d.lost += over
	}
}

// noteSilence reserves the share of a domain's traffic when its coordinator has become silent: of the level and of what fills the bucket.
func (b *bucket) noteSilence(name wire.DomainName, d *domain, now time.Time, alive func(wire.DomainName) bool) {
	if d.silent {
		// A domain's instances are heard to be silent only some time after its coordinator.
		if !alive(name) {
			d.until = d.silentSince.Add(cutReserve)
		}
		return
	}
	if !b.isActive(now) {
		return
	}
	since := d.heard
	if b.activeSince.After(since) {
		since = b.activeSince
	}
	if now.Sub(since) <= silentAfter {
		return
	}
	d.silent, d.share = true, b.share(name, now)
	d.silentSince, d.until = now, now.Add(b.window)
	taken := d.share * math.Max(b.level, 0)
	d.reserved += taken
	b.level -= taken
}

// isActive reports whether anything was spent of late.
func (b *bucket) isActive(now time.Time) bool {
	return !b.active.IsZero() && now.Sub(b.active) < idleAfter
}

func (b *bucket) markActive(now time.Time) {
	if !b.isActive(now) {
		b.activeSince = now
	}
	b.active = now
}

// share returns the share of the limit that a domain has by what the domains spent of late. The shares of all domains add up to 1: below half
// of the limit, the rest is divided evenly. The empty name stands for the bucket's own domain.
func (b *bucket) share(name wire.DomainName, now time.Time) float64 {
	spent := b.own.value(now)
	if d := b.domains[name]; d != nil {
		spent = d.recent.value(now)
	}
	even := 1 / float64(len(b.domains)+1)
	base := math.Max(b.spending(now), b.quota.Rate*recentTime.Seconds()/2)
	if base <= 0 {
		return even
	}
	share := spent/base + (1-b.spending(now)/base)*even
	return (1-evenShare)*share + evenShare*even
}

// spending returns what all domains together spent of late.
func (b *bucket) spending(now time.Time) float64 {
	sum := b.own.value(now)
	for _, d := range b.domains {
		sum += d.recent.value(now)
	}
	return sum
}

// need returns the level at which a request is granted: its cost, or a full bucket if the bucket never holds that much.
func (b *bucket) need(cost float64) float64 {
	return math.Min(cost, b.quota.Burst)
}

// spend counts what the bucket's own domain has spent. A refund is negative.
func (b *bucket) spend(cost float64, now time.Time) {
	b.level -= cost
	b.cap()
	b.own.add(cost, now)
	b.markActive(now)
}

// spentElsewhere counts what another domain has spent since it was last heard, up to now.
func (b *bucket) spentElsewhere(name wire.DomainName, cost float64, now time.Time) {
	d := b.domains[name]
	covered := math.Min(math.Max(cost, 0), d.lost)
	b.level += d.reserved - cost + covered
	d.reserved, d.lost, d.silent, d.heard = 0, 0, false, now
	b.cap()
	if cost != 0 {
		d.recent.add(cost, now)
		b.markActive(now)
	}
}

// setQuota puts a changed limit in force. The level keeps its distance from a full bucket if the burst is raised; it
// starts empty if the unit changes.
func (b *bucket) setQuota(q route.Quota) {
	if q.Unit != b.quota.Unit {
		b.level, b.own = 0, average{}
	}
	if q.Burst > b.quota.Burst {
		b.level += q.Burst - b.quota.Burst
	}
	b.quota = q
	b.level = math.Min(b.level, q.Burst)
}
