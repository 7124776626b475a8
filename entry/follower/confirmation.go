package follower

import (
	"context"
	"time"

	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/wire"
)

const (
	// pollsPerValidity is the number of polls within the shortest KeyValidSeconds in force, so that keys stay valid as long as
	// the table, or a peer that reaches the table, answers.
	pollsPerValidity = 4
	minPollInterval  = 200 * time.Millisecond
)

// confirmedAgoRounding is the maximum error of ConfirmedAgoMillis, which is rounded down to whole milliseconds.
const confirmedAgoRounding = time.Millisecond

// SinceConfirmed returns the time since the document in force was last known to be the newest.
func (f *Follower) SinceConfirmed() time.Duration {
	return f.clock.Since(time.Unix(0, f.confirmedNanos.Load()))
}

// confirm records that the version in force was the newest one at a point in time. It ignores times before the recorded one.
func (f *Follower) confirm(at time.Time) {
	for {
		old := f.confirmedNanos.Load()
		if at.UnixNano() <= old || f.confirmedNanos.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// pollInterval returns the poll interval: short enough for the keys with the shortest validity.
func (f *Follower) pollInterval() time.Duration {
	shortest := f.shortestValidity()
	if shortest == 0 {
		return maxPollInterval
	}
	return max(minPollInterval, min(maxPollInterval, shortest/pollsPerValidity))
}

// shortestValidity returns the shortest KeyValidSeconds in force, or zero if no key expires.
func (f *Follower) shortestValidity() time.Duration {
	a := f.current.Load()
	if a == nil {
		return 0
	}
	shortest := 0
	for _, w := range a.Index.Document().Workspace {
		if w.KeyValidSeconds > 0 && (shortest == 0 || w.KeyValidSeconds < shortest) {
			shortest = w.KeyValidSeconds
		}
	}
	return time.Duration(shortest) * time.Second
}

// askForConfirmation asks all peers for a confirmation if some keys expire without one and the last one is older than a poll
// interval.
func (f *Follower) askForConfirmation(context.Context) {
	if f.shortestValidity() == 0 || f.SinceConfirmed() <= f.pollInterval() {
		return
	}
	_ = channel.Send(f.hub, "", TopicAsk, f.newAsk())
}

// newAsk returns a request for a confirmation with the present time, which the answer repeats.
func (f *Follower) newAsk() wire.DocumentAsk {
	return wire.DocumentAsk{At: int(f.clock.Now().UnixNano())}
}

// handleAsk answers a peer's request for a confirmation with a notice of the document in force.
func (f *Follower) handleAsk(_ context.Context, from wire.InstanceName, a wire.DocumentAsk) error {
	notice, known := f.newNotice(a.At)
	if !known {
		return nil
	}
	return channel.Send(f.hub, from, TopicNotice, notice)
}

// newNotice returns a notice of the document in force, and false if there is none. askedAt is the time in the
// DocumentAsk that it answers, or zero.
func (f *Follower) newNotice(askedAt int) (wire.DocumentNotice, bool) {
	a := f.current.Load()
	if a == nil {
		return wire.DocumentNotice{}, false
	}
	ago := f.SinceConfirmed()
	return wire.DocumentNotice{Version: a.Version, Digest: a.Digest, ConfirmedAgoMillis: int(ago.Milliseconds()), AskedAt: askedAt}, true
}

// applyConfirmation applies a peer's confirmation of the same document. Its age is counted from the time at which this instance
// asked, by its own clock, so that a slow link or a paused process cannot make it appear newer than it is. Unsolicited notices
// carry no such time and are ignored.
func (f *Follower) applyConfirmation(n wire.DocumentNotice) {
	a := f.current.Load()
	askedAt := time.Unix(0, int64(n.AskedAt))
	if n.AskedAt == 0 || a == nil || a.Version != n.Version || a.Digest != n.Digest || askedAt.After(f.clock.Now()) {
		return
	}
	f.confirm(askedAt.Add(-time.Duration(n.ConfirmedAgoMillis)*time.Millisecond - confirmedAgoRounding))
}
