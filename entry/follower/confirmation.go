package follower

import (
	"context"
	"time"

	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/wire"
)

// Fractions of the shortest KeyValidSeconds in force, so that keys stay valid while the table or a peer in touch with it
// can be asked.
const (
	pollsInValidity = 4
	leastInterval   = 200 * time.Millisecond
)

// rounding is the most that ConfirmedAgoMillis leaves out.
const rounding = time.Millisecond

// SinceConfirmed returns how long ago the document in force was last known to be the newest.
func (f *Follower) SinceConfirmed() time.Duration {
	return f.clock.Since(time.Unix(0, f.confirmed.Load()))
}

// confirm notes that the version in force was the newest at a time.
func (f *Follower) confirm(at time.Time) {
	for {
		old := f.confirmed.Load()
		if at.UnixNano() <= old || f.confirmed.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// interval returns how often the table is asked: often enough for the keys with the shortest validity.
func (f *Follower) interval() time.Duration {
	shortest := f.shortestValidity()
	if shortest == 0 {
		return pollEvery
	}
	return max(leastInterval, min(pollEvery, shortest/pollsInValidity))
}

// shortestValidity returns the shortest KeyValidSeconds in force, or zero if all keys stay valid.
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

// ask asks every peer for a confirmation when the table has given none for a while and some keys depend on it.
func (f *Follower) ask(context.Context) {
	if f.shortestValidity() == 0 || f.SinceConfirmed() <= f.interval() {
		return
	}
	_ = channel.Send(f.hub, "", TopicAsk, f.question())
}

func (f *Follower) question() wire.DocumentAsk {
	return wire.DocumentAsk{At: int(f.clock.Now().UnixNano())}
}

func (f *Follower) takeAsk(_ context.Context, from wire.InstanceName, a wire.DocumentAsk) error {
	notice, known := f.notice(a.At)
	if !known {
		return nil
	}
	return channel.Send(f.hub, from, TopicNotice, notice)
}

// notice describes the document in force, in answer to a question or to none.
func (f *Follower) notice(askedAt int) (wire.DocumentNotice, bool) {
	a := f.current.Load()
	if a == nil {
		return wire.DocumentNotice{}, false
	}
	ago := f.SinceConfirmed()
	return wire.DocumentNotice{Version: a.Version, Digest: a.Digest, ConfirmedAgoMillis: int(ago.Milliseconds()), AskedAt: askedAt}, true
}

// confirmFrom takes a peer's confirmation of the same document. It counts from when this instance asked, by its own clock,
// so that neither a slow link nor a pause makes it younger than it is; a notice that nobody asked for has no such time.
func (f *Follower) confirmFrom(n wire.DocumentNotice) {
	a := f.current.Load()
	asked := time.Unix(0, int64(n.AskedAt))
	if n.AskedAt == 0 || a == nil || a.Version != n.Version || a.Digest != n.Digest || asked.After(f.clock.Now()) {
		return
	}
	f.confirm(asked.Add(-time.Duration(n.ConfirmedAgoMillis)*time.Millisecond - rounding))
}
