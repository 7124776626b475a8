package replication_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/replication"
	"github.com/jonboulle/clockwork"
)

const tolerance = 300 * time.Millisecond

// fixture has a Lag whose calls of onBehind arrive in behind.
type fixture struct {
	t      *testing.T
	clock  *clockwork.FakeClock
	lag    *replication.Lag
	behind chan replication.Version
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, clock: clockwork.NewFakeClock(), behind: make(chan replication.Version, 100)}
	f.lag = replication.NewLag(f.clock, func() time.Duration { return tolerance }, func(peer replication.Version) { f.behind <- peer })
	return f
}

// expectBehind waits for a call of onBehind with a version.
func (f *fixture) expectBehind(want replication.Version) {
	f.t.Helper()
	select {
	case got := <-f.behind:
		if got != want {
			f.t.Errorf("behind version %d, want %d", got, want)
		}
	case <-time.After(5 * time.Second):
		f.t.Fatalf("onBehind was not called for version %d", want)
	}
}

// expectIdle checks that no timer runs.
func (f *fixture) expectIdle() {
	f.t.Helper()
	f.clock.Advance(10 * tolerance)
	select {
	case got := <-f.behind:
		f.t.Errorf("onBehind was called for version %d", got)
	case <-time.After(20 * time.Millisecond):
	}
}

func TestLagIsReportedAfterTheToleranceUntilCaughtUp(t *testing.T) {
	f := newFixture(t)
	f.lag.Reread(10, 8, f.lag.Claimed())
	f.lag.PeerApplied(12)
	f.clock.Advance(tolerance)
	f.expectBehind(12)
	f.clock.Advance(tolerance)
	f.expectBehind(12)
	f.lag.Applied(12, 12)
	f.expectIdle()
}

func TestInstanceThatCatchesUpInTimeIsNotBehind(t *testing.T) {
	f := newFixture(t)
	f.lag.Applied(10, 8)
	f.lag.PeerApplied(12)
	f.clock.Advance(tolerance / 2)
	f.lag.Applied(13, 12)
	f.expectIdle()
}

// TestVersionOfOtherTableIsNotLag checks that only changes of the table count: an instance that has read the whole table is not
// behind a peer whose last change is older.
func TestVersionOfOtherTableIsNotLag(t *testing.T) {
	f := newFixture(t)
	f.lag.Reread(10, 4, f.lag.Claimed())
	f.lag.PeerApplied(9)
	f.expectIdle()
	if got := f.lag.Changed(); got != 4 {
		t.Errorf("the last change has version %d, want 4", got)
	}
}

// TestWrongClaimIsIgnored guards against a malformed report that makes an instance read its tables without end.
func TestWrongClaimIsIgnored(t *testing.T) {
	f := newFixture(t)
	f.lag.Reread(10, 8, f.lag.Claimed())
	f.lag.PeerApplied(1 << 60)
	f.clock.Advance(tolerance)
	f.expectBehind(1 << 60)
	if f.lag.Reread(11, 11, f.lag.Claimed()) {
		t.Error("a claim above the store's version was taken as true")
	}
	f.lag.PeerApplied(1 << 60)
	f.expectIdle()
}

// TestLagIsNoticedAfterWrongClaim guards against an instance that no longer notices that it is behind its peers, once a malformed report
// has claimed a version that the store does not have.
func TestLagIsNoticedAfterWrongClaim(t *testing.T) {
	f := newFixture(t)
	f.lag.Reread(10, 8, f.lag.Claimed())
	f.lag.PeerApplied(1 << 60)
	f.clock.Advance(tolerance)
	f.expectBehind(1 << 60)
	f.lag.Reread(11, 11, f.lag.Claimed())
	f.lag.PeerApplied(1 << 60)
	f.lag.PeerApplied(12)
	f.clock.Advance(tolerance)
	f.expectBehind(12)
	f.lag.Applied(12, 12)
	f.expectIdle()
}
