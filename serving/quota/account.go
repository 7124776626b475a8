package quota

import (
	"math"
	"math/rand/v2"
	"time"

	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
)

// Times of an instance that asks its coordinator.
const (
	// askTimeout is how long a request waits for the answer to an ask, which is sent askAttempts times.
	askTimeout  = 20 * time.Millisecond
	askAttempts = 2
	// grantLife is how long a grant is valid.
	grantLife = time.Second
	// renewAfter is the age from which an allowance is renewed while it is still used.
	renewAfter = allowanceLife / 2
	// probeInterval is how often a silent coordinator is asked whether it answers again.
	probeInterval = 100 * time.Millisecond
)

// silentTimeouts is how many requests in a row wait for a coordinator in vain before the next ones do not wait for it. Both datagrams of one
// ask may be lost.
const silentTimeouts = 2

// reportRepeats is how often a report is repeated after the last change, as datagrams may be lost.
const reportRepeats = 3

// minShare is the least share of the limit that an instance uses without a coordinator, as a part of an even share.
const minShare = 0.5

// account is an instance's state of a workspace as one that spends from its quota.
type account struct {
	workspace wire.WorkspaceName
	quota     route.Quota
	// coordinator is the address of the coordinator that is asked, term counts the coordinators so far.
	coordinator string
	term        uint64
	// spent is what was spent without asking in the term; sent is what was reported last, acked what had been reported when the
	// coordinator answered last. repeats counts the reports that are still to be sent.
	spent, sent, acked float64
	sequence           uint64
	repeats            int
	// cancels are the asks to cancel, with how often that is still to be sent.
	cancels map[Ask]int
	// allowance is what may be spent without asking until allowedUntil, by the answer to the ask of number newest; renewed is set once
	// another one was asked for.
	allowance    float64
	allowedUntil time.Time
	renewAt      time.Time
	newest       uint64
	// level and share are those of the last answer, at answeredAt; answered is set if there was one.
	level, share float64
	answeredAt   time.Time
	answered     bool
	// least is the least share that the instance uses without a coordinator. localSince is when local was set; an instance without requests is not
	// answered either, so answeredAt does not tell how long the coordinator has been silent.
	least      float64
	localSince time.Time
	// local is set while the coordinator does not answer, timeouts counts the requests that waited in vain; bucket is then the level of the instance's share at bucketAt.
	local    bool
	timeouts int
	bucket   float64
	bucketAt time.Time
	probedAt time.Time

	// spentAll, refused and decidedLocally are totals for metrics and logs.
	spentAll                float64
	refused, decidedLocally uint64
}

// follow sets the coordinator that is asked. What it may not have been told of is reported to the new one.
func (a *account) follow(address string) {
	if address == a.coordinator {
		return
	}
	a.coordinator = address
	a.term++
	a.spent -= a.acked
	a.acked, a.sent = 0, 0
	a.allowance = 0
	clear(a.cancels)
	a.local, a.timeouts = false, 0
	if a.spent != 0 {
		a.repeats = reportRepeats
	}
}

// spend counts what was spent without asking. A refund is negative.
func (a *account) spend(cost float64) {
	a.spent += cost
	a.repeats = reportRepeats
}

// useAllowance takes a cost from the allowance, if it suffices.
func (a *account) useAllowance(cost float64, now time.Time) bool {
	if cost > a.allowance || !now.Before(a.allowedUntil) {
		return false
	}
	a.allowance -= cost
	a.spend(cost)
	return true
}

// takeAnswer takes the answer to an ask.
func (a *account) takeAnswer(x Answer, asked *askedRequest, now time.Time) {
	if x.Number <= a.newest {
		return
	}
	a.newest = x.Number
	a.level, a.share, a.answeredAt, a.answered = x.Level, x.Share, now, true
	a.allowance, a.allowedUntil, a.renewAt = x.Allowance, asked.at.Add(allowanceLife), asked.at.Add(renewAfter)
	if asked.term == a.term {
		a.acked = asked.sent
	}
	a.local, a.timeouts = false, 0
}

// startLocal starts the local bucket, with the instance's share of the last known level and of what has come in since.
func (a *account) startLocal(instances int, now time.Time) {
	if a.local {
		return
	}
	even := 1 / float64(max(instances, 1))
	if !a.answered {
		a.share = even
	}
	a.least = minShare * even
	a.share = math.Max(a.share, a.least)
	level := math.Min(a.level+a.quota.Rate*now.Sub(a.answeredAt).Seconds(), a.quota.Burst)
	a.local, a.localSince = true, now
	a.bucket, a.bucketAt = a.share*level, now
	// What was spent from the allowance is not in the level.
	a.bucket -= a.spent - a.acked
}

// takeLocal takes a cost from the local bucket, or returns when that will be possible. A request runs if the instance's share of the level
// that the whole workspace needs is there, as shares are often smaller than a request; the bucket may go below zero. An
// instance that has never been answered needs the whole cost: after a start of all instances, each would run a request too many.
func (a *account) takeLocal(cost float64, now time.Time) (bool, time.Duration) {
	if now.Sub(a.localSince) > successorTime {
		a.share = math.Min(a.share, a.least)
	}
	rate := a.share * a.quota.Rate
	a.bucket = math.Min(a.bucket+rate*now.Sub(a.bucketAt).Seconds(), a.share*a.quota.Burst)
	a.bucketAt = now
	need := a.share * math.Min(cost, a.quota.Burst)
	// All instances of the domain may see the same level; near zero, each would run a request.
	if a.answered {
		need = math.Max(need, rand.Float64()*a.share*a.quota.Burst*scarceLevel)
	}
	if !a.answered {
		need = math.Min(cost, a.share*a.quota.Burst)
	}
	if a.bucket < need {
		return false, min(seconds((need-a.bucket)/rate), successorTime)
	}
	a.bucket -= cost
	a.spend(cost)
	return true, 0
}

// scarceLevel is the part of the burst below which the local bucket refuses at random, the more often the less is left.
const scarceLevel = 0.25

// successorTime is how long a domain takes at most to get a new coordinator. A client that was refused by a local bucket is told to return by
// then. An instance that is not answered for longer does not reach the coordinator, which divides the whole limit among the others: it goes on
// with the least share.
const successorTime = 3 * time.Second

// cancel has the coordinator told that a request does not wait for the answer to an ask any longer.
func (a *account) cancel(x Ask) {
	if a.cancels == nil {
		a.cancels = map[Ask]int{}
	}
	a.cancels[x] = reportRepeats
}

// nextCancels returns the asks that are to be cancelled.
func (a *account) nextCancels() []Ask {
	if len(a.cancels) == 0 {
		return nil
	}
	list := make([]Ask, 0, len(a.cancels))
	for x, n := range a.cancels {
		list = append(list, x)
		if a.cancels[x] = n - 1; n == 1 {
			delete(a.cancels, x)
		}
	}
	return list
}

// nextReport returns a report if one is due.
func (a *account) nextReport() (Report, bool) {
	if a.repeats == 0 {
		return Report{}, false
	}
	a.repeats--
	a.sequence++
	a.sent = a.spent
	return Report{Workspace: a.workspace, Term: a.term, Sequence: a.sequence, Spent: a.spent, Known: a.acked}, true
}
