package domain_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"cowslipshunt.example/entry/domain"
	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/platform"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// TestNewHolderAwaitsStatesOfEngines guards against refused requests after a change of the lease holder: an engine that misses the first
// polls of a new holder, for example on a busy machine, may not be announced as loading at once, as the entries would stop using it. One
// that stays silent may not hold up the announcement of the others for long.
func TestNewHolderAwaitsStatesOfEngines(t *testing.T) {
	const orderTimeout = time.Second
	for name, test := range map[string]struct {
		answers bool
		want    wire.EndpointPhase
	}{
		"engine answers later": {true, wire.EndpointPhaseReady},
		"engine stays silent":  {false, wire.EndpointPhaseLoading},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			f, address := newFakeDomain(t)
			e, entryAddress := newFakeEntry(t, ctx)
			t.Cleanup(cancel)
			f.silent = "e0"
			for _, state := range f.engines {
				state.ModelVersion = "2"
			}
			announced, err := e.hub.Subscribe(ctx, "EndpointStates")
			if err != nil {
				t.Fatal(err)
			}
			clock := clockwork.NewFakeClock()
			client := platform.NewClient(address)
			keeper := lease.NewKeeper(lease.Domain("d"), lease.Identity{Instance: "c", Incarnation: "c1"}, client, lease.NewSystemClock(clockwork.NewRealClock()), lease.WithTerm(2*testTimeout))
			if err := keeper.Step(ctx); err != nil {
				t.Fatal(err)
			}
			w := domain.NewWorker(domain.Config{
				Self:         wire.Hello{Instance: "c", Incarnation: "c1", Domain: "d", Program: wire.ProgramDuties},
				Entries:      []domain.Entry{{Instance: "a", Address: entryAddress}},
				Platform:     client,
				Keeper:       keeper,
				Sender:       domain.NewSender(keeper, address, time.Second),
				Poller:       domain.NewPoller(time.Second),
				OrderTimeout: orderTimeout,
				Clock:        clock,
				Logger:       process.NewLogger(io.Discard, "error", "entry", "c"),
			})
			defer http.DefaultTransport.(*http.Transport).CloseIdleConnections()
			defer w.Close()
			for len(e.hub.Links()) == 0 && ctx.Err() == nil {
				w.Tick(ctx)
			}
			for range 5 {
				w.Tick(ctx)
			}
			if test.answers {
				f.mu.Lock()
				f.silent = ""
				f.mu.Unlock()
			} else {
				clock.Advance(2 * orderTimeout)
			}
			for {
				w.Tick(ctx)
				select {
				case m := <-announced:
					m.Ack()
					states, err := channel.Decode[wire.EndpointStates](m.Payload)
					if err != nil || len(states.Endpoints) != 2 {
						t.Fatalf("announced %+v, %v", states, err)
					}
					if got := states.Endpoints[0].Phase; got != test.want {
						t.Errorf("e0 is first announced as %s, want %s", got, test.want)
					}
					return
				case <-ctx.Done():
					t.Fatal("no states were announced")
				case <-time.After(time.Millisecond):
				}
			}
		})
	}
}
