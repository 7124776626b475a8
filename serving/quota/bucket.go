package quota

import (
	"math"
	"time"

	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
)

// Times of the exchange between coordinators.
const (
	// silentAfter is how long the coordinator of another domain may be silent while the workspace is active: one of the keep-alives that
	// coordinators send every keepAlive may be lost before its share is reserved, or an instance may pause for 0.1 s as it has used up its
	// processor time. With 400 ms, a partition and a restart of all instances within one window exceeded the bound in a property test.
	silentAfter = 250 * time.Millisecond
	keepAlive   = 100 * time.Millisecond
	// cutReserve is how long the share of a domain stays reserved if all its instances are silent: it may be partitioned and still spend, and
	// nothing tells that from a loss. Partitions of an hour occur now and then.
	cutReserve = time.Hour
	// idleAfter is how long after the last spending a workspace counts as idle. Then keep-alives are sent every idleKeepAlive, and a domain
	// that is partitioned is found out after idleSilentAfter, before it and the others spend a full bucket each.
	idleAfter       = 10 * time.Second
	idleKeepAlive   = time.Second
	idleSilentAfter = 3500 * time.Millisecond
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
	// allThen is what all domains had spent of late when this one was heard last. Both domains know that number, so that both divide the limit
	// in the same way while they do not hear each other.
	allThen average
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
	// forgiven is what the bucket lacked of a full one that no longer counted when the burst was lowered, last at loweredAt.
	forgiven  float64
	loweredAt time.Time
	domains   map[wire.DomainName]*domain
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
		if d.reserves(now) {
			d.reserved += d.share * fill
			free -= d.share
		}
	}
	b.level += math.Max(free, 0) * fill
	b.cap(now)
}

// lostTime bounds what a domain may have spent of what the bucket could not hold, as the time in which the bucket gains that much: the reports
// of coordinators are two ticks apart at most while they spend.
const lostTime = 2 * TickInterval

// cap drops what the bucket cannot hold. A part of it belongs to the domains that are silent.
func (b *bucket) cap(now time.Time) {
	limit := b.quota.Burst
	for _, d := range b.domains {
		if d.reserves(now) {
			limit -= d.share * b.quota.Burst
		}
	}
	over := b.level - math.Max(limit, 0)
	if over <= 0 {
		return
	}
	b.level -= over
	for _, d := range b.domains {
		d.lost = math.Min(d.lost+over, b.quota.Rate*lostTime.Seconds())
	}
}

// reserves reports whether the domain's share is reserved.
func (d *domain) reserves(now time.Time) bool {
	return d.silent && now.Before(d.until)
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
	since := d.heard
	if b.activeSince.After(since) {
		since = b.activeSince
	}
	if now.Sub(d.heard) <= idleSilentAfter && !(b.isActive(now) && now.Sub(since) > silentAfter) {
		return
	}
	d.silent, d.share = true, b.shareOf(d, now)
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

// shareOf returns the share of the limit that another domain had when it was heard last.
func (b *bucket) shareOf(d *domain, now time.Time) float64 {
	return b.divide(d.recent.value(now), d.allThen.value(now))
}

// ownShare returns the share of the limit that the bucket's own domain has: of what is not reserved for others.
func (b *bucket) ownShare(now time.Time) float64 {
	free, all := 1.0, b.spending(now)
	for _, d := range b.domains {
		if d.reserves(now) {
			free -= d.share
			all -= d.recent.value(now)
		}
	}
	return math.Min(b.divide(b.own.value(now), all), math.Max(free, 0))
}

// divide returns the share of the limit that a domain has which spent an amount of what all domains spent of late. The shares of all domains add
// up to 1: below half of the limit, the rest is divided evenly.
func (b *bucket) divide(spent, all float64) float64 {
	even := 1 / float64(len(b.domains)+1)
	base := math.Max(all, b.quota.Rate*recentTime.Seconds()/2)
	if base <= 0 {
		return even
	}
	return (1-evenShare)*(spent/base+(1-all/base)*even) + evenShare*even
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
	b.cap(now)
	b.own.add(cost, now)
	b.markActive(now)
}

// spentElsewhere counts what another domain has spent since it was last heard, up to now. What was reserved for it and not spent is given
// back, as far as the level of its own bucket, theirs, says that it is left. Of a domain that was not heard for longer than cutReserve, no more
// than recent counts, which is what it spent in the last historySeconds: a debt for all that time would refuse the workspace for as long again.
func (b *bucket) spentElsewhere(name wire.DomainName, cost, theirs, recent float64, now time.Time) {
	d := b.domains[name]
	left := d.reserved - cost
	if left > 0 {
		left = math.Min(left, math.Min(math.Max(theirs, 0), d.share*b.quota.Burst))
	} else {
		left = math.Min(left+d.lost, 0)
	}
	if now.Sub(d.heard) > cutReserve {
		recent = math.Max(recent, 0)
		cost, left = math.Min(cost, recent), math.Max(left, -recent)
	}
	d.reserved, d.lost, d.silent, d.heard = 0, 0, false, now
	b.level += left
	b.cap(now)
	if cost != 0 {
		d.recent.add(cost, now)
		b.markActive(now)
	}
	d.allThen = average{b.spending(now), now}
}

// setQuota puts a changed limit in force. If the burst is raised, the level rises with it; what the bucket lacked when the burst was lowered
// within the last window is kept in mind for that, as limits that go down and up would otherwise add to what may be spent. The bucket starts
// empty if the unit changes.
func (b *bucket) setQuota(q route.Quota, now time.Time) {
	if q.Unit != b.quota.Unit {
		b.level, b.own, b.forgiven = 0, average{}, 0
	}
	if now.Sub(b.loweredAt) > b.window {
		b.forgiven = 0
	}
	rise := q.Burst - b.quota.Burst
	b.quota = q
	switch {
	case rise < 0:
		dropped := math.Max(b.level-q.Burst, 0)
		b.forgiven += -rise - dropped
		b.level -= dropped
		b.loweredAt = now
	case rise > 0:
		kept := math.Min(b.forgiven, rise)
		b.level += rise - kept
		b.forgiven -= kept
	}
	b.cap(now)
}
