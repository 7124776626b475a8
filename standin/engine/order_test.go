package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/shared/setting"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

// TestOrdersAreFencedAndIdempotent sends random orders. An engine that checks fencing must reject epochs below the highest
// accepted one, and a repeated order must get the first answer and have no effect.
func TestOrdersAreFencedAndIdempotent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := loadedSettings()
		cfg.ChecksFencing = rapid.Bool().Draw(rt, "checks fencing")
		e := newEngine(cfg)
		defer e.close()
		answers := map[wire.OrderId]wire.EngineOrderAnswer{}
		highest, accepted := wire.Epoch(0), 0
		for range rapid.IntRange(1, 20).Draw(rt, "orders") {
			o := wire.EngineOrder{
				Order:  wire.OrderId(rapid.StringMatching(`[a-f]`).Draw(rt, "order")),
				Epoch:  wire.Epoch(rapid.IntRange(1, 5).Draw(rt, "epoch")),
				Action: wire.EngineActionChangeRole,
				Role:   rapid.SampledFrom(roles).Draw(rt, "role"),
			}
			got := e.handleOrder(o)
			if before, seen := answers[o.Order]; seen {
				if got != before {
					rt.Fatalf("repeat answered %+v, first %+v", got, before)
				}
				continue
			}
			answers[o.Order] = got
			if want := !cfg.ChecksFencing || o.Epoch >= highest; got.Accepted != want {
				rt.Fatalf("order %+v at epoch %d: %+v", o, highest, got)
			}
			if got.Accepted {
				accepted++
				highest = max(highest, o.Epoch)
			}
		}
		if got := int(e.counters.orders.Get()); got != accepted {
			rt.Errorf("%d orders done, want %d", got, accepted)
		}
		if got := e.currentState().Epoch; got != highest {
			rt.Errorf("epoch %d, want %d", got, highest)
		}
	})
}

func TestOrdersCompleteInArrivalOrder(t *testing.T) {
	e := newEngine(loadedSettings())
	defer e.close()
	for i := range 50 {
		e.handleOrder(wire.EngineOrder{Order: wire.OrderId(fmt.Sprint(i)), Action: wire.EngineActionLoadModel,
			Model: "m", ModelVersion: wire.ModelVersion(fmt.Sprint(i))})
	}
	eventually(t, "the last order done", func() bool { return e.currentState().LastOrderDone })
	if got := e.currentState().ModelVersion; got != "49" {
		t.Errorf("model version %s, want 49", got)
	}
	e.handleOrder(wire.EngineOrder{Order: "stop", Action: wire.EngineActionStop})
	if _, _, err := e.admit(t.Context(), "m"); err != errUnavailable {
		t.Errorf("after a stop: %v", err)
	}
}

func TestSlotsAreGrantedByPriorityThenArrival(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		priorities := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 20).Draw(rt, "priorities")
		s := newSlots(1, len(priorities), func(int, int) {})
		if err := s.acquire(context.Background(), 0); err != nil {
			rt.Fatal(err)
		}
		waiting := make([]*ticket, len(priorities))
		for i, p := range priorities {
			waiting[i], _ = s.join(p)
		}
		if _, err := s.join(0); err != errFull {
			rt.Fatalf("joined a full queue: %v", err)
		}
		gone := waiting[rapid.IntRange(0, len(waiting)-1).Draw(rt, "abandons")]
		s.abandon(gone)
		waiting = slices.DeleteFunc(waiting, func(t *ticket) bool { return t == gone })
		slices.SortStableFunc(waiting, func(a, b *ticket) int { return a.priority - b.priority })
		for i, next := range waiting {
			if i%2 == 0 {
				s.release()
			} else {
				s.abandon(waiting[i-1])
			}
			select {
			case <-next.granted:
			default:
				rt.Fatalf("release %d went to another", i)
			}
		}
		if s.release(); s.running != 0 {
			rt.Errorf("%d running at the end", s.running)
		}
	})
}

// TestEventsLagAndHaveGaps adds 7 events with a lag of 1 s, of which every third is lost.
func TestEventsLagAndHaveGaps(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := newEventLog(clock, time.Second, 3)
	for range 7 {
		l.add(wire.CacheEventKindStored, []string{"p"})
	}
	if got := l.after(0); len(got) != 0 {
		t.Errorf("events visible before the lag: %v", got)
	}
	clock.Advance(time.Second)
	var got []int
	for _, e := range l.after(2) {
		got = append(got, e.Sequence)
	}
	if !slices.Equal(got, []int{4, 5, 7}) {
		t.Errorf("events %v, want 4, 5 and 7", got)
	}
}

func TestLoadLags(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := newLoadHistory(clock, time.Second, 9)
	for _, running := range []int{1, 2, 3} {
		clock.Advance(400 * time.Millisecond)
		h.setRequests(running, 0)
	}
	for _, want := range []int{0, 1, 2, 3, 3} {
		if got := h.lagging(); got.Running != want || got.PiecesTotal != 9 || clock.Since(got.At) != time.Second {
			t.Errorf("load %+v, want %d running a second ago", got, want)
		}
		clock.Advance(400 * time.Millisecond)
	}
}

func TestSettingsAreChecked(t *testing.T) {
	cfg := defaultSettings()
	places, list := setting.Decode("f", []byte("Role='Odd'\nMaxRunning=0\nPieces=4\n"), &cfg)
	list = append(list, cfg.Check(places)...)
	for _, field := range []string{"Address", "OperationsAddress", "Endpoint", "Role", "MaxRunning", "PieceTokens"} {
		if !strings.Contains(list.Error(), field+": ") {
			t.Errorf("no finding for %s in:\n%v", field, list)
		}
	}
}
