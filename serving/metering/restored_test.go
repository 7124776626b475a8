package metering_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipshunt.example/serving/clearance"
	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/shared/era"
	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/tabletest"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

// mayRestore is that of a store whose responses have an era.
func mayRestore() bool { return true }

// startRestorable completes an instance whose table may be restored.
func (m *usageModel) startRestorable(i *instance) {
	i.client, i.copies = tabletest.NewClient(m.table), metering.NewFrozenCopies()
	i.keeper = lease.NewKeeper("duties", lease.Identity{Instance: i.name, Incarnation: i.incarnation}, i, m.clock, lease.WithEra(i.client.Era))
	i.ledger = clearance.NewLedger(i.keeper, clearance.NewWitness(m.clock, witnesses{i}), string(i.name))
	i.reporter = metering.NewReporter(i, i.keeper, m.platform, i.counter, m.bounds,
		metering.WithLate(func(w metering.Window, c metering.Counts) { m.late[w] += c["w"] }),
		metering.WithWithheld(func(x metering.Withheld) { m.withheld += int(x.Last-x.First) + 1 }, func(metering.Window, metering.Counts) {}),
		metering.WithRestores(metering.Restores{Era: i.client.Era, MayRestore: mayRestore, Copies: i.copies, Evidence: i.ledger,
			Share: func(f metering.Frozen, stored era.Era) { m.share(i, f, stored) }}))
	i.handoffs = metering.NewHandoffs(i.incarnation, metering.WithWithdrawn(mayRestore))
	i.writer = metering.NewWriter(i, i.counter, i.handoffs, i, i.name, i.incarnation,
		metering.WithEra(i.client.Era, mayRestore, i.copies))
}

// share delivers a copy of a frozen window to the other instances.
func (m *usageModel) share(from *instance, f metering.Frozen, stored era.Era) {
	for _, i := range m.instances {
		if i != from {
			from.sendCopy(i, f, stored)
		}
	}
}

// loses reports whether a datagram is lost.
func (m *usageModel) loses() bool {
	return m.losesDatagram != nil && m.losesDatagram()
}

// sendCopy delivers a copy of a frozen window to another instance, and its receipt.
func (i *instance) sendCopy(to *instance, f metering.Frozen, stored era.Era) {
	m := i.model
	if m.loses() || !to.copies.Keep(f, stored, m.clock.now) || !to.ledger.ReceiveCopy(f.Window, stored) || m.loses() {
		return
	}
	i.ledger.ReceiveReceipt(clearance.Receipt{Witness: string(to.name), Window: f.Window})
}

// sendCopies delivers all copies of frozen windows, and the clearance of the era, to other instances.
func (i *instance) sendCopies(to []*instance) {
	for _, other := range to {
		for _, x := range i.copies.All(i.model.clock.now) {
			if other != i {
				i.sendCopy(other, x.Frozen, x.Stored)
			}
		}
		if c, known := i.ledger.Clearance(i.client.Era()); known && other != i && !i.model.loses() {
			other.ledger.ReceiveClearance(c)
		}
	}
}

// witnesses are the peers of an instance. The address of an instance is its name.
type witnesses struct{ *instance }

// find returns the instance at an address, or nil.
func (w witnesses) find(address string) *instance {
	for _, i := range w.model.instances {
		if string(i.name) == address && i != w.instance {
			return i
		}
	}
	return nil
}

// Witnesses returns all others.
func (w witnesses) Witnesses() []string {
	var list []string
	for _, i := range w.model.instances {
		if i != w.instance {
			list = append(list, string(i.name))
		}
	}
	return list
}

// Pledge delivers a pledge and its receipt.
func (w witnesses) Pledge(witness string, p clearance.Pledge) {
	to := w.find(witness)
	if to == nil || w.model.loses() || !to.ledger.ReceivePledge(p) || w.model.loses() {
		return
	}
	w.ledger.ReceiveReceipt(clearance.Receipt{Witness: witness, Until: p.Until})
}

// SendCopy delivers a copy and its receipt.
func (w witnesses) SendCopy(witness string, f metering.Frozen, stored era.Era) {
	if to := w.find(witness); to != nil {
		w.sendCopy(to, f, stored)
	}
}

// Announce delivers a clearance to all others.
func (w witnesses) Announce(c clearance.Clearance) {
	for _, i := range w.model.instances {
		if i != w.instance && !w.model.loses() {
			i.ledger.ReceiveClearance(c)
		}
	}
}

// newRestorableModel returns a faultless model of a large deployment whose table may be restored.
func newRestorableModel(t *rapid.T) *usageModel {
	m := newLargeModel(t)
	m.restorable = true
	m.instances = nil
	for range 4 {
		m.instances = append(m.instances, m.start(len(m.instances)))
	}
	return m
}

// backupAge draws how old the backup is from which the table is restored.
func backupAge(t *rapid.T) time.Duration {
	return time.Duration(rapid.SampledFrom([]int{1, 5, 10}).Draw(t, "backup age")) * time.Second
}

// TestRestoredStoreLosesNoCounts guards against counts that are not reported, are reported as late or are reported twice because the store
// was restored to a state without them, or without the frozen windows that include them.
func TestRestoredStoreLosesNoCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRestorableModel(t)
		m.serve(2*windowLength + time.Duration(rapid.IntRange(0, 20).Draw(t, "before"))*metering.CopyInterval)
		for range rapid.IntRange(1, 2).Draw(t, "restores") {
			backup := m.table.Backup()
			m.serve(backupAge(t))
			if rapid.Bool().Draw(t, "outage") {
				m.storeDown = true
				m.serve(time.Duration(rapid.IntRange(1, 4).Draw(t, "outage")) * metering.CopyInterval)
				m.storeDown = false
			}
			m.table.Restore(backup)
			m.serve(time.Duration(rapid.IntRange(0, 20).Draw(t, "after")) * metering.CopyInterval)
		}
		m.run(4 * windowLength)
		m.checkReportedInFull()
	})
}

// TestRestoredStoreReportsEachWindowOnce guards against a window that is reported with other counts than before, and against a report under
// an older epoch, as the holder or another instance is killed around a restore, answers are lost and some copies do not arrive.
func TestRestoredStoreReportsEachWindowOnce(t *testing.T) {
	reported := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newRestorableModel(t)
		m.losesDatagram = func() bool { return rapid.IntRange(0, 9).Draw(t, "datagram") == 0 }
		m.serve(2*windowLength + time.Duration(rapid.IntRange(0, 20).Draw(t, "before"))*metering.CopyInterval)
		for range rapid.IntRange(1, 2).Draw(t, "restores") {
			backup := m.table.Backup()
			m.faultless = rapid.Bool().Draw(t, "faultless")
			m.serve(backupAge(t))
			m.faultless = true
			victim := rapid.IntRange(-1, len(m.instances)-1).Draw(t, "victim")
			if victim >= 0 && rapid.Bool().Draw(t, "killed before the restore") {
				m.kill(victim)
				victim = -1
			}
			m.table.Restore(backup)
			m.serve(time.Duration(rapid.IntRange(0, 6).Draw(t, "after")) * metering.CopyInterval)
			if victim >= 0 {
				m.stop(victim)
			}
		}
		m.run(6 * windowLength)
		m.checkAllReported()
		reported += len(m.platform.reports)
	})
	if reported == 0 {
		t.Error("no window was reported")
	}
}

// TestRestoredStoreKeepsCountsOfStoppedInstance guards against the loss of counts that a stopped instance had written: only its peers have
// copies of them.
func TestRestoredStoreKeepsCountsOfStoppedInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRestorableModel(t)
		m.serve(2*windowLength + time.Duration(rapid.IntRange(0, 20).Draw(t, "before"))*metering.CopyInterval)
		backup := m.table.Backup()
		m.serve(time.Duration(rapid.IntRange(1, 20).Draw(t, "until the stop")) * metering.CopyInterval)
		m.stop(rapid.IntRange(0, len(m.instances)-1).Draw(t, "stopped"))
		m.serve(time.Duration(rapid.IntRange(0, 4).Draw(t, "until the restore")) * metering.CopyInterval)
		m.table.Restore(backup)
		m.serve(2 * windowLength)
		m.run(4 * windowLength)
		m.checkReportedInFull()
	})
}

// withdrawalCounter counts the hand-offs and withdrawals that an instance sends.
type withdrawalCounter struct{ handoffs, withdrawals int }

// HandOff counts hand-offs and withdrawals.
func (c *withdrawalCounter) HandOff(list []metering.Handoff) {
	for _, x := range list {
		if len(x.Counts) == 0 {
			c.withdrawals++
		} else {
			c.handoffs++
		}
	}
}

// TestOwnerThatWritesAgainTellsItsPeers guards against reads and writes by three peers for each window of each instance after a restore,
// which are more than the store takes in a large deployment.
func TestOwnerThatWritesAgainTellsItsPeers(t *testing.T) {
	table, now := tabletest.New(), time.Unix(1e9, 0)
	client := tabletest.NewClient(table)
	counter := metering.NewCounter(windowLength, func() time.Time { return now })
	peers := &withdrawalCounter{}
	w := metering.NewWriter(client, counter, metering.NewHandoffs("1"), peers, "i", "1",
		metering.WithEra(client.Era, mayRestore, metering.NewFrozenCopies()))
	step := func() {
		now = now.Add(metering.CopyInterval)
		if _, err := w.Step(t.Context(), now); err != nil {
			t.Fatal(err)
		}
	}
	empty := table.Backup()
	counter.Began("w")
	for range 4 {
		step()
	}
	table.Restore(empty)
	if _, err := client.Range(t.Context(), metering.CountTable, "", ""); err != nil {
		t.Fatal(err)
	}
	*peers = withdrawalCounter{}
	for range 4 {
		step()
	}
	if rows := table.Rows(metering.CountTable, ""); len(rows) != 1 || peers.handoffs != 0 || peers.withdrawals != 3 {
		t.Errorf("%d rows were written again; the peers got %d hand-offs and %d withdrawals, want 3", len(rows), peers.handoffs, peers.withdrawals)
	}
}

// TestRowOfImpossibleEpochClearsNothing guards against a window that is reported again because another writer left a row with an epoch that no
// holder has had.
func TestRowOfImpossibleEpochClearsNothing(t *testing.T) {
	for _, x := range []struct {
		epoch    int
		withheld bool
	}{{era.FirstEpoch(1) + 1, false}, {1, true}, {era.FirstEpoch(2) + 1, true}, {1 << 60, true}, {-1, true}} {
		table, now := tabletest.New(), time.Unix(1e9, 0)
		client := tabletest.NewClient(table)
		counter := metering.NewCounter(windowLength, func() time.Time { return now })
		w := counter.At(now)
		value := fmt.Sprintf(`{"Window":%d,"Counts":{"w":1},"Epoch":%d,"Reported":true}`, w, x.epoch)
		table.Commit(wire.TransactRequest{Writes: []wire.Write{{Table: metering.WindowTable, Key: fmt.Sprintf("%012d", w), Value: []byte(value)}}})
		table.Restore(table.Backup())
		if _, err := client.Range(t.Context(), metering.WindowTable, "", ""); err != nil {
			t.Fatal(err)
		}
		withheld := 0
		r := metering.NewReporter(client, &restoringFence{client: client}, anyPlatform{}, counter, metering.Bounds{FreezeDelay: time.Second},
			metering.WithWithheld(func(x metering.Withheld) { withheld += int(x.Last-x.First) + 1 }, func(metering.Window, metering.Counts) {}),
			metering.WithRestores(metering.Restores{Era: client.Era, MayRestore: mayRestore, Copies: metering.NewFrozenCopies(), Share: func(metering.Frozen, era.Era) {}}))
		now = now.Add(2*windowLength + 1)
		r.ObserveEra() // the window after w may have been reported
		now = now.Add(2 * windowLength)
		if err := r.Step(t.Context()); err != nil {
			t.Fatal(err)
		}
		if (withheld == 1) != x.withheld {
			t.Errorf("a window was frozen under epoch %d: %d windows were withheld", x.epoch, withheld)
		}
	}
}
