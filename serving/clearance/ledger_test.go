package clearance_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipshunt.example/serving/clearance"
	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/shared/era"
	"cowslipshunt.example/shared/lease"
	"github.com/jonboulle/clockwork"
)

// maxLeft is the Left of a tenure after a renewal in these tests.
const maxLeft = 4 * time.Second

// fakeLease is a lease whose tenure the test sets.
type fakeLease struct {
	tenure lease.Tenure
	left   time.Duration
}

// Tenure returns the tenure that the test has set.
func (l *fakeLease) Tenure() lease.Tenure { return l.tenure }

// LeftAtRelease returns the time that the test has set.
func (l *fakeLease) LeftAtRelease() time.Duration { return l.left }

// network delivers messages between a holder and its witnesses, while they are connected.
type network struct {
	holder    *clearance.Ledger
	witnesses map[string]*clearance.Witness
	cut       map[string]bool
	pledges   int
	announced []clearance.Clearance
}

// Witnesses returns the names of all witnesses.
func (n *network) Witnesses() []string {
	var list []string
	for name := range n.witnesses {
		list = append(list, name)
	}
	return list
}

// Pledge delivers a pledge and its receipt.
func (n *network) Pledge(witness string, p clearance.Pledge) {
	n.pledges++
	if !n.cut[witness] && n.witnesses[witness].ReceivePledge(p) {
		n.holder.ReceiveReceipt(clearance.Receipt{Witness: witness, Until: p.Until})
	}
}

// SendCopy delivers a copy and its receipt.
func (n *network) SendCopy(witness string, f metering.Frozen, stored era.Era) {
	if !n.cut[witness] && n.witnesses[witness].ReceiveCopy(f.Window, stored) {
		n.holder.ReceiveReceipt(clearance.Receipt{Witness: witness, Window: f.Window})
	}
}

// Announce records a clearance.
func (n *network) Announce(c clearance.Clearance) { n.announced = append(n.announced, c) }

// fixture is a holder with one witness.
type fixture struct {
	*network
	clock   *clockwork.FakeClock
	lease   *fakeLease
	witness *clearance.Ledger
}

func newFixture() *fixture {
	f := &fixture{
		clock:   clockwork.NewFakeClock(),
		lease:   &fakeLease{tenure: lease.Tenure{First: 1, Left: maxLeft, Settled: true}},
		network: &network{witnesses: map[string]*clearance.Witness{}, cut: map[string]bool{}},
	}
	f.holder = clearance.NewLedger(f.lease, clearance.NewWitness(f.clock, f.network), "holder")
	w := clearance.NewWitness(f.clock, f.network)
	f.witness = clearance.NewLedger(&fakeLease{}, w, "witness")
	f.witnesses["witness"] = w
	return f
}

// pass lets time pass since the last renewal of the lease.
func (f *fixture) pass(d time.Duration) {
	f.clock.Advance(d)
	f.lease.tenure.Confirmed += d
	f.lease.tenure.Left -= d
}

// renew renews the lease.
func (f *fixture) renew() {
	f.lease.tenure.Confirmed, f.lease.tenure.Left = 0, maxLeft
}

// ExampleLedger shows how a witness clears the windows that a holder has not reported when the store is restored.
func ExampleLedger() {
	f := newFixture()
	f.holder.Loaded(7) // the store has rows of the windows up to 6
	f.holder.Pledge(7)
	fmt.Println("may report before the witness has a copy:", f.holder.MayReport(7))
	f.holder.Distribute(metering.Frozen{Window: 7}, 0)
	fmt.Println("and with one:", f.holder.MayReport(7))
	f.holder.Reporting(7)
	f.witness.ObserveEra(1)
	first, known := f.witness.FirstUnreported(1)
	fmt.Println("not reported before era 1:", first, known)
	// Output:
	// may report before the witness has a copy: false
	// and with one: true
	// not reported before era 1: 8 true
}

// TestReportWaitsForSilentWitness guards against the report of a window that a witness may clear: the holder must know that the store had not
// been restored when the pledge ended.
func TestReportWaitsForSilentWitness(t *testing.T) {
	f := newFixture()
	f.holder.Loaded(7)
	f.pass(time.Second)
	f.holder.Pledge(7)
	f.cut["witness"] = true
	f.renew()
	f.pass(maxLeft - 500*time.Millisecond)
	if f.holder.MayReport(7) {
		t.Error("the window may be reported although the last renewal was sent before the pledge ended")
	}
	f.renew()
	if !f.holder.MayReport(7) {
		t.Error("the window may not be reported after the pledge has ended")
	}
}

// TestSilentWitnessDelaysReportsOnce guards against reports that are late because each waits for a witness that is gone.
func TestSilentWitnessDelaysReportsOnce(t *testing.T) {
	f := newFixture()
	f.holder.Loaded(7)
	f.cut["witness"] = true
	for range 4 {
		f.holder.Pledge(7)
	}
	if f.pledges != 2 {
		t.Errorf("%d pledges were sent to a silent witness", f.pledges)
	}
	f.pass(maxLeft / 2)
	f.renew()
	f.pass(maxLeft/2 + time.Millisecond)
	f.renew()
	if !f.holder.MayReport(7) {
		t.Error("the window may not be reported after the pledges have ended")
	}
}

// TestUnsettledHolderReportsNothing guards against a report of a new holder while an earlier one, or one of its witnesses, may still clear
// windows.
func TestUnsettledHolderReportsNothing(t *testing.T) {
	f := newFixture()
	f.holder.Loaded(7)
	for _, settled := range []bool{false, true} {
		f.lease.tenure.Settled = settled
		if f.holder.MayReport(6) != settled {
			t.Errorf("settled %t: a window of the holder before may be reported: %t", settled, !settled)
		}
	}
}

// TestWitnessOfLaterEraAcknowledgesNothing guards against a holder that has not learned of a restore and reports a window that its witness has
// cleared.
func TestWitnessOfLaterEraAcknowledgesNothing(t *testing.T) {
	f := newFixture()
	f.holder.Loaded(7)
	f.holder.Pledge(7)
	f.witness.ObserveEra(1)
	f.holder.Distribute(metering.Frozen{Window: 7}, 0)
	if f.holder.MayReport(7) {
		t.Error("a window may be reported that was cleared")
	}
	if len(f.announced) != 1 || f.announced[0].First != 7 || f.announced[0].Era != 1 {
		t.Errorf("the clearances %v were announced", f.announced)
	}
}

// TestEndedPledgeClearsNothing guards against a clearance of windows that the holder has reported after its pledge ended.
func TestEndedPledgeClearsNothing(t *testing.T) {
	for _, late := range []bool{false, true} {
		f := newFixture()
		f.holder.Loaded(7)
		f.holder.Pledge(7)
		f.pass(maxLeft - time.Second)
		if late {
			f.pass(time.Second)
		}
		f.witness.ObserveEra(1)
		if _, known := f.witness.FirstUnreported(1); known == late {
			t.Errorf("ended %t: cleared %t", late, known)
		}
	}
}

// TestHolderClearsForLaterEra guards against windows that are withheld although the process that reports them has held the lease all along.
func TestHolderClearsForLaterEra(t *testing.T) {
	f := newFixture()
	f.holder.Loaded(7)
	f.holder.Reporting(7)
	f.holder.ObserveEra(1)
	if first, known := f.holder.FirstUnreported(1); first != 8 || !known {
		t.Errorf("the first window that was not reported is %d, known %t", first, known)
	}
	f.lease.tenure.First = 2 // another process may have held the lease in between
	f.holder.ObserveEra(2)
	if first, known := f.holder.FirstUnreported(2); known {
		t.Errorf("window %d is cleared by a tenure that has ended", first)
	}
}

// TestPledgeAtReleaseLastsOverTheGap guards against windows that are withheld because the store was restored between the release of the lease
// and the first pledge of the next holder.
func TestPledgeAtReleaseLastsOverTheGap(t *testing.T) {
	f := newFixture()
	f.holder.Loaded(7)
	f.holder.Pledge(7)
	f.pass(3 * time.Second)
	f.lease.tenure, f.lease.left = lease.Tenure{}, maxLeft-time.Second
	f.holder.PledgeAtRelease()
	f.clock.Advance(maxLeft - 2*time.Second)
	f.witness.ObserveEra(1)
	if first, known := f.witness.FirstUnreported(1); first != 7 || !known {
		t.Errorf("the first window that was not reported is %d, known %t", first, known)
	}
}

// TestClearanceThatIsNotKeptIsNotAnnounced guards against the announcement that no window at all was reported, as malformed messages of later
// eras have left no room for the own clearance.
func TestClearanceThatIsNotKeptIsNotAnnounced(t *testing.T) {
	f := newFixture()
	for e := range era.Era(20) {
		f.witness.ReceiveClearance(clearance.Clearance{Era: e + 2, First: 3})
	}
	f.holder.Loaded(7)
	f.holder.Pledge(7)
	f.witness.ObserveEra(1)
	for _, c := range f.announced {
		if c.First != 7 {
			t.Errorf("the clearance %v was announced", c)
		}
	}
}

// TestMalformedMessagesClearNothing guards against datagrams that would fill the memory or clear windows of eras that cannot be.
func TestMalformedMessagesClearNothing(t *testing.T) {
	f := newFixture()
	for n := range metering.Window(1000) {
		f.witness.ReceivePledge(clearance.Pledge{First: n, Until: f.clock.Now().Add(time.Second).UnixMilli()})
		f.witness.ReceiveClearance(clearance.Clearance{Era: era.Era(n) + 2, First: n})
		f.holder.ReceiveReceipt(clearance.Receipt{Witness: fmt.Sprint(n), Window: n})
	}
	for _, c := range []clearance.Clearance{{Era: -1}, {Era: 0}, {Era: era.Max + 1}, {Era: 1, First: -1}} {
		f.witness.ReceiveClearance(c)
		if _, known := f.witness.FirstUnreported(c.Era); known {
			t.Errorf("the clearance %v was accepted", c)
		}
	}
	for _, p := range []clearance.Pledge{{First: -1, Until: f.clock.Now().Add(time.Second).UnixMilli()}, {First: 1, Until: f.clock.Now().Add(time.Hour).UnixMilli()}} {
		if f.witness.ReceivePledge(p) {
			t.Errorf("the pledge %v was accepted", p)
		}
	}
}
