package metering_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/shared/tabletest"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

// TestInstancesThatStopDuringStoreOutageLoseNoCounts stops instances one by one during a store outage, as a rolling restart does.
// Their counts must be reported in full if the outage ends in time.
func TestInstancesThatStopDuringStoreOutageLoseNoCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newUsageModel(t)
		m.faultless = true
		serve := func(seconds int) {
			for range seconds {
				for _, i := range m.instances {
					m.began(i)
				}
				m.run(time.Second)
			}
		}
		serve(2*int(windowLength/time.Second) + rapid.IntRange(0, 4).Draw(t, "before"))
		m.storeDown = true
		stopped := rapid.Permutation([]int{0, 1, 2}).Draw(t, "order")[:rapid.IntRange(1, 3).Draw(t, "stopped")]
		for _, n := range stopped {
			serve(1)
			m.stop(n)
		}
		m.storeDown = false
		serve(1)
		m.run(2*windowLength + 2*settle)
		for w, n := range m.begun {
			if got := m.platform.reports[w]["w"]; got != n {
				t.Fatalf("window %d was reported with %d requests of %d", w, got, n)
			}
		}
		if len(m.late) > 0 {
			t.Errorf("counts %v were written too late to be reported", m.late)
		}
	})
}

// handoffFixture is the hand-offs that one instance keeps, and the table that it writes them to.
type handoffFixture struct {
	t        *testing.T
	table    *tabletest.Table
	handoffs *metering.Handoffs
}

func newHandoffFixture(t *testing.T) *handoffFixture {
	return &handoffFixture{t: t, table: tabletest.New(), handoffs: metering.NewHandoffs("2")}
}

func (h *handoffFixture) write(at time.Time) []metering.Handoff {
	h.t.Helper()
	written, err := h.handoffs.Write(h.t.Context(), h.table, at)
	if err != nil {
		h.t.Fatal(err)
	}
	return written
}

// putWindow stores a frozen window with its sources and their last writes.
func (h *handoffFixture) putWindow(w metering.Window, sources map[string]time.Time) {
	h.t.Helper()
	value, err := json.Marshal(map[string]any{"Window": w, "Sources": sources, "Reported": true})
	if err != nil {
		h.t.Fatal(err)
	}
	write := wire.Write{Table: metering.WindowTable, Key: fmt.Sprintf("%012d", w), Value: value}
	if _, err := h.table.Transact(h.t.Context(), wire.TransactRequest{Writes: []wire.Write{write}}); err != nil {
		h.t.Fatal(err)
	}
}

func handoff(made time.Time, n int, final bool) metering.Handoff {
	return metering.Handoff{Instance: "i", Incarnation: "1", Window: 7, Counts: metering.Counts{"w": n}, Made: made.UnixMilli(), Changed: made.UnixMilli(), Final: final}
}

func TestHandoffOfRunningOwnerIsNotWritten(t *testing.T) {
	now := time.Unix(1e9, 0)
	h := newHandoffFixture(t)
	for range 10 {
		h.handoffs.Keep(handoff(now, 3, false), now)
		now = now.Add(time.Second)
		if written := h.write(now); len(written) > 0 {
			t.Fatalf("wrote %v although the owner repeats its hand-off", written)
		}
	}
	now = now.Add(6 * time.Second)
	if written := h.write(now); len(written) != 1 || written[0].Counts["w"] != 3 {
		t.Errorf("wrote %v of a silent owner", written)
	}
	if written := h.write(now); len(written) > 0 {
		t.Errorf("wrote %v twice", written)
	}
}

func TestWithdrawnHandoffIsNotWritten(t *testing.T) {
	now := time.Unix(1e9, 0)
	h := newHandoffFixture(t)
	h.handoffs.Keep(handoff(now, 3, false), now)
	withdrawn := handoff(now.Add(time.Second), 0, false)
	withdrawn.Counts = nil
	h.handoffs.Keep(withdrawn, now)
	if written := h.write(now.Add(10 * time.Second)); len(written) > 0 {
		t.Errorf("wrote %v", written)
	}
}

// TestMalformedHandoffStopsNoWrites guards against a malformed datagram after which an instance writes no counts for as long as it keeps
// hand-offs: a time beyond the year 9999 cannot be encoded.
func TestMalformedHandoffStopsNoWrites(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, at := range []int64{1 << 48, -1 << 48, 1<<63 - 1, -1 << 63} {
		for name, spoil := range map[string]func(x *metering.Handoff){
			"made":    func(x *metering.Handoff) { x.Made = at },
			"changed": func(x *metering.Handoff) { x.Changed = at },
		} {
			h := newHandoffFixture(t)
			x := handoff(now, 3, true)
			spoil(&x)
			h.handoffs.Keep(x, now)
			h.handoffs.Keep(handoff(now, 2, true), now)
			if written := h.write(now); len(written) != 1 || written[0].Counts["w"] != 2 {
				t.Errorf("after a hand-off that was %s at %d, %v was written", name, at, written)
			}
		}
	}
}

func TestHandoffNeverLowersCounts(t *testing.T) {
	now := time.Unix(1e9, 0)
	tests := []struct {
		name            string
		owner, handoff  int
		revisionIsKnown bool
		want            string
	}{
		{"the owner wrote more after a copy was lost", 5, 3, false, `{"Counts":{"w":5},"Written":"2001-09-09T01:46:40Z"}`},
		{"the owner's last write was lost", 3, 5, true, `{"Counts":{"w":5},"Written":"2001-09-09T01:46:40Z","Ended":true}`},
		{"the owner's write took effect without an answer", 3, 5, false, `{"Counts":{"w":5},"Written":"2001-09-09T01:46:40Z","Ended":true}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHandoffFixture(t)
			c := metering.NewCounter(windowLength, func() time.Time { return now })
			for range test.owner {
				c.Began("w")
			}
			if err := c.Write(t.Context(), h.table, "i", "1"); err != nil {
				t.Fatal(err)
			}
			x := handoff(now, test.handoff, true)
			x.Window = c.At(now)
			if test.revisionIsKnown {
				x.Revision = h.table.Rows(metering.CountTable, "")[0].Revision
			}
			h.handoffs.Keep(x, now)
			h.write(now)
			if rows := h.table.Rows(metering.CountTable, ""); len(rows) != 1 || string(rows[0].Value) != test.want {
				t.Errorf("got %s, want %s", rows[0].Value, test.want)
			}
		})
	}
}

// peerRecorder records the hand-offs that an instance sends to its peers.
type peerRecorder struct{ list []metering.Handoff }

func (p *peerRecorder) HandOff(list []metering.Handoff) { p.list = append(p.list, list...) }

// While the store accepts writes, counts that rise during a write are not handed off: peers need no copies of them.
func TestCountsThatRiseWhileTheyAreWrittenAreNotHandedOff(t *testing.T) {
	now := time.Unix(1e9, 0)
	table, peers := tabletest.New(), &peerRecorder{}
	c := metering.NewCounter(windowLength, func() time.Time { return now })
	w := metering.NewWriter(table, c, metering.NewHandoffs("1"), peers, "i", "1")
	table.Delay = func() { c.Began("w") }
	c.Began("w")
	if _, err := w.Step(t.Context(), now); err != nil {
		t.Fatal(err)
	}
	if len(peers.list) > 0 {
		t.Errorf("handed off %v", peers.list)
	}
	table.Fault = func() tabletest.Fault { return tabletest.Refused }
	if _, err := w.Step(t.Context(), now); err == nil || len(peers.list) != 1 || len(peers.list[0].Counts) == 0 {
		t.Errorf("a refused write handed off %v: %v", peers.list, err)
	}
	table.Fault, table.Delay = func() tabletest.Fault { return tabletest.None }, func() {}
	if _, err := w.Step(t.Context(), now); err != nil || len(peers.list) != 2 || len(peers.list[1].Counts) > 0 {
		t.Errorf("a write that succeeded withdrew %v: %v", peers.list, err)
	}
}
