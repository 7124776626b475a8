package metering_test

import (
	"context"
	"testing"
	"time"

	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/shared/era"
	"cowslipshunt.example/shared/tabletest"
	"cowslipshunt.example/wire"
)

// restoringFence is a lease that is always held. The table is restored after the first transaction, and another call learns of it before
// the transaction's caller goes on.
type restoringFence struct {
	client  *tabletest.Client
	restore func()
}

// Transact commits, and restores the table once.
func (f *restoringFence) Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error) {
	answer, err := f.client.Transact(ctx, r)
	if restore := f.restore; restore != nil {
		f.restore = nil
		restore()
	}
	return answer, err
}

// Guard returns epoch 1.
func (f *restoringFence) Guard(time.Duration) (wire.Epoch, bool) { return 1, true }

// anyPlatform accepts all reports.
type anyPlatform struct{}

// ReportUsage accepts the report.
func (anyPlatform) ReportUsage(context.Context, wire.Epoch, metering.Window, metering.Counts) error {
	return nil
}

// TestCopyStatesTheEraOfItsWindow guards against peers that take a window for one of the restored store, so that nobody writes it again if
// the holder of the lease is killed: the window is then frozen and reported again with other counts.
func TestCopyStatesTheEraOfItsWindow(t *testing.T) {
	table, now := tabletest.New(), time.Unix(1e9, 0)
	client := tabletest.NewClient(table)
	counter := metering.NewCounter(windowLength, func() time.Time { return now })
	peer := metering.NewFrozenCopies()
	backup := table.Backup()
	fence := &restoringFence{client: client, restore: func() {
		table.Restore(backup)
		if _, err := client.Range(t.Context(), metering.WindowTable, "", ""); err != nil {
			t.Error(err)
		}
	}}
	r := metering.NewReporter(client, fence, anyPlatform{}, counter, metering.Bounds{FreezeDelay: time.Second},
		metering.WithRestores(metering.Restores{Era: client.Era, MayRestore: mayRestore, Copies: metering.NewFrozenCopies(),
			Share: func(f metering.Frozen, stored era.Era) { peer.Keep(f, stored, now) }}))
	counter.Began("w")
	if err := counter.Write(t.Context(), client, "i", "1"); err != nil {
		t.Fatal(err)
	}
	now = now.Add(2*windowLength - 1)
	_ = r.Step(t.Context()) // the mark of the reported window fails
	written, err := peer.Restore(t.Context(), client, client.Era(), now)
	if err != nil || len(written) != 1 {
		t.Errorf("the peer wrote windows %v again in era %d, %v", written, client.Era(), err)
	}
}

// TestStoreWithoutErasNeedsNoCopies guards against memory that is held, for as long as a backup may be old, in deployments whose store is
// never restored: hand-offs that were withdrawn and frozen windows.
func TestStoreWithoutErasNeedsNoCopies(t *testing.T) {
	table, now := tabletest.New(), time.Unix(1e9, 0)
	never := func() bool { return false }
	client, copies := tabletest.NewClient(table), metering.NewFrozenCopies()
	counter := metering.NewCounter(windowLength, func() time.Time { return now })
	r := metering.NewReporter(client, &restoringFence{client: client}, anyPlatform{}, counter, metering.Bounds{FreezeDelay: time.Second},
		metering.WithRestores(metering.Restores{Era: client.Era, MayRestore: never, Copies: copies,
			Share: func(f metering.Frozen, _ era.Era) { t.Errorf("window %d was sent to peers", f.Window) }}))
	counter.Began("w")
	if err := counter.Write(t.Context(), client, "i", "1"); err != nil {
		t.Fatal(err)
	}
	now = now.Add(2*windowLength - 1)
	if err := r.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
	handoffs := metering.NewHandoffs("2", metering.WithWithdrawn(never))
	x := handoff(now, 3, false)
	handoffs.Keep(x, now)
	x.Made, x.Counts = x.Made+1, nil
	handoffs.Keep(x, now)
	table.Restore(tabletest.New().Backup())
	if _, err := client.Range(t.Context(), metering.WindowTable, "", ""); err != nil {
		t.Fatal(err)
	}
	now = now.Add(windowLength)
	w := metering.NewWriter(client, metering.NewCounter(windowLength, func() time.Time { return now }), handoffs, &peerRecorder{}, "j", "2",
		metering.WithEra(client.Era, never, copies))
	for range 2 { // the second step writes what the owner has not withdrawn again since the first
		written, err := w.Step(t.Context(), now)
		if err != nil || len(written) != 0 {
			t.Errorf("hand-offs %v were kept, %v", written, err)
		}
		now = now.Add(4 * metering.CopyInterval)
	}
	if n := len(table.Rows(metering.WindowTable, "")); n != 0 {
		t.Errorf("%d frozen windows were kept", n)
	}
}

// TestCopyOfImpossibleEraIsRejected guards against a malformed datagram that writes a row to the store: a copy of an era below 0 counts as
// lost in era 0, in which no store was restored. A copy of an era that cannot be would never count as lost.
func TestCopyOfImpossibleEraIsRejected(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, stored := range []era.Era{-1, -1 << 62, era.Max + 1} {
		table, copies := tabletest.New(), metering.NewFrozenCopies()
		copies.Keep(metering.Frozen{Window: 1, Counts: metering.Counts{"w": 1}}, stored, now)
		written, err := copies.Restore(t.Context(), table, 0, now)
		if err != nil || len(written) != 0 {
			t.Errorf("a copy of era %d wrote windows %v, %v", stored, written, err)
		}
		copies.Keep(metering.Frozen{Window: 1, Counts: metering.Counts{"w": 1}}, 0, now)
		if written, err = copies.Restore(t.Context(), table, 1, now); err != nil || len(written) != 1 {
			t.Errorf("after a copy of era %d the peer wrote windows %v, %v", stored, written, err)
		}
	}
}

// TestCopyWithImpossibleTimeIsRejected guards against a malformed datagram after which an instance writes no counts, and reports none, until
// the copy expires: a time beyond the year 9999 cannot be encoded.
func TestCopyWithImpossibleTimeIsRejected(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, at := range []int64{1 << 48, -1 << 48, 1<<63 - 1, -1 << 63} {
		table, copies := tabletest.New(), metering.NewFrozenCopies()
		counts := metering.Counts{"w": 1}
		copies.Keep(metering.Frozen{Window: 1, Counts: counts, Sources: map[string]int64{"i/1": at}}, 0, now)
		copies.Keep(metering.Frozen{Window: 2, Counts: counts, Sources: map[string]int64{"i/1": now.UnixMilli(), "no time": time.Time{}.UnixMilli()}}, 0, now)
		if written, err := copies.Restore(t.Context(), table, 1, now); err != nil || len(written) != 1 || written[0] != 2 {
			t.Errorf("with the time %d, windows %v were written, %v", at, written, err)
		}
	}
}
