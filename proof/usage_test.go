package proof

import (
	"net/http"
	"testing"
	"time"

	"cowslipshunt.example/wire"
)

// outageDuration is longer than two flushes of an entry's usage plus the time that a peer waits before it writes the usage of
// an entry that died.
const outageDuration = 7 * time.Second

func usagePlan() plan {
	p := smallPlan()
	p.entrySettings = "StallMillis = 2000\nLeaveMillis = 50\nStoreTimeoutMillis = 500\n"
	return p
}

// killAndRestart kills an entry, starts it again and waits until it is ready.
func (s *system) killAndRestart(t *testing.T, m *instance) {
	t.Helper()
	m.entry.kill()
	m.entry.restart(t)
	s.waitReady(m.name, m.operationsAddress, "/readyz")
}

// waitLinked waits until every entry reports a link to every other entry.
func (s *system) waitLinked(t *testing.T) {
	t.Helper()
	eventually(t, "every entry is linked to every other", func() bool {
		for _, m := range s.instances {
			links := 0
			for _, other := range s.status(m).Instances {
				if other.Connected && other.Program == wire.ProgramEntry && other.Instance != wire.InstanceName(m.name) {
					links++
				}
			}
			if links != len(s.instances)-1 {
				return false
			}
		}
		return true
	})
}

// TestUsageOfKilledEntriesIsBilledOnce kills one entry after another under load, while the table works, loses answers and
// is down. Each complete answer must be billed exactly once.
func TestUsageOfKilledEntriesIsBilledOnce(t *testing.T) {
	t.Parallel()
	s := newReadySystem(t, usagePlan())
	billing := startBillingLoad(s, 3)
	faults := []struct {
		name     string
		fault    wire.PlatformFault
		duration time.Duration
	}{
		{"table works", wire.PlatformFault{}, 0},
		{"answers lost", wire.PlatformFault{LoseAnswers: true}, outageDuration},
		{"table down", wire.PlatformFault{Down: true}, outageDuration},
	}
	for i, f := range faults {
		billing.waitAnswers(t, 50)
		s.post(s.platformAddress, "/fault", f.fault)
		faultEnd := time.After(f.duration)
		victim := s.instances[i%len(s.instances)]
		billing.waitAnswers(t, 50)
		before := billing.completeAnswers()
		s.killAndRestart(t, victim)
		<-faultEnd
		s.post(s.platformAddress, "/fault", wire.PlatformFault{})
		s.waitLinked(t)
		billing.waitBilled(t)
		t.Logf("%s: %s killed after %d complete answers", f.name, victim.name, before)
	}
	billing.finish()
	billing.check(t)
}

// TestRestartedPeerHoldsUsageAgain restarts the peer that holds an entry's usage and then kills the entry, all while the
// table is down. The peer must have received the usage again after its restart.
func TestRestartedPeerHoldsUsageAgain(t *testing.T) {
	t.Parallel()
	s := newReadySystem(t, usagePlan())
	s.waitLinked(t)
	s.post(s.platformAddress, "/fault", wire.PlatformFault{Down: true})
	owner, peer := s.instances[0], s.instances[1]
	s.requireAnswer(t, owner, testKey)
	s.killAndRestart(t, peer)
	s.waitLinked(t)
	s.requireAnswer(t, owner, otherKey)
	owner.entry.kill()
	owner.entry.restart(t)
	s.post(s.platformAddress, "/fault", wire.PlatformFault{})
	eventually(t, "both workspaces are billed once", func() bool {
		billed := s.billedUsage()
		return billed[testWorkspace].requests == 1 && billed[otherWorkspace].requests == 1
	})
}

// requireAnswer sends one chat request and fails the test unless it is answered.
func (s *system) requireAnswer(t *testing.T, m *instance, key string) {
	t.Helper()
	if res := newCaller(key).chat(m.address, "a venue", 5); res.status != http.StatusOK {
		t.Fatalf("%s answered %d: %s", m.name, res.status, res.body)
	}
}

// TestUsageOfAStoredAnswer kills an entry after the answer of a keyed booking is in the table but before the caller has it,
// and sends the booking again. The caller then gets the stored answer, so the booking must be billed.
func TestUsageOfAStoredAnswer(t *testing.T) {
	t.Parallel()
	s := newReadySystem(t, usagePlan())
	s.waitLinked(t)
	owner, peer := s.instances[0], s.instances[1]
	owner.platformProxy.setDelay(400 * time.Millisecond)
	go newCaller(testKey).book(owner.address, "hall", "key-hall")
	eventually(t, "the table has the answer", func() bool { return s.finishedClaims() == 1 })
	owner.entry.kill()
	res := newCaller(testKey).book(peer.address, "hall", "key-hall")
	if res.status != http.StatusOK || s.bookingRuns()["hall"] != 1 {
		t.Fatalf("the repeat was answered %d %q; runs %v", res.status, res.outcome, s.bookingRuns())
	}
	eventually(t, "the booking is billed once", func() bool { return s.billedUsage()[testWorkspace].requests == 1 })
}

// finishedClaims counts the claims that hold an answer.
func (s *system) finishedClaims() int {
	n := 0
	for _, row := range s.rows("claim") {
		var claim wire.ClaimRow
		decodeJSON(string(row.Value), &claim)
		if claim.State == wire.ClaimStateDone {
			n++
		}
	}
	return n
}

// TestUsageOfUnfinishedRequests disconnects one caller from a stream and one before its plain answer, and kills the engines
// during another stream. Only the first request is billed, for at least the output that its caller has read.
func TestUsageOfUnfinishedRequests(t *testing.T) {
	t.Parallel()
	s := newReadySystem(t, usagePlan())
	got := s.disconnectDuringStream(t, testKey, 10)
	s.disconnectDuringPlainAnswer(t, testKey)
	if res := newCaller(testKey).chat(s.instances[0].address, "", -1); res.outcome != "NotRun" {
		t.Errorf("an invalid request was answered %d %q", res.status, res.outcome)
	}
	s.killEnginesDuringStream(t, otherKey)
	s.stopEntries(t)
	billed := s.billedUsage()
	if bill := billed[testWorkspace]; bill.requests != 1 || bill.tokens < got {
		t.Errorf("the disconnected caller got %d tokens and is billed %+v", got, bill)
	}
	if bill := billed[otherWorkspace]; bill.requests != 0 {
		t.Errorf("the caller whose request failed is billed %+v", bill)
	}
	t.Logf("the disconnected caller had read %d tokens; billed %v", got, billed)
}

// stopEntries stops every entry, which writes all recorded usage to the table.
func (s *system) stopEntries(t *testing.T) {
	t.Helper()
	for _, m := range s.instances {
		if code := m.entry.stop(t); code != 0 {
			t.Errorf("%s exited %d", m.name, code)
		}
	}
}
