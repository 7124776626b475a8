package peer

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/shared/queue"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// Bounds of the waits in the tests of Control.
const (
	controlTimeout = 10 * time.Second
	// overtakeTime is how long the handler of one message is held up, in which a later message could overtake it.
	overtakeTime = 200 * time.Millisecond
)

// noAnnouncer announces nothing.
type noAnnouncer struct{}

// AnnounceTo does nothing.
func (noAnnouncer) AnnounceTo(wire.InstanceName) {}

// controlMessage is a message of a lease holder.
type controlMessage struct {
	topic string
	v     any
}

// statesMessage returns a message with the phases of engines e0 and e1.
func statesMessage(sequence int, e0, e1 wire.EndpointPhase) controlMessage {
	return controlMessage{TopicStates, wire.EndpointStates{Domain: "a", Epoch: 1, Sequence: sequence, Endpoints: []wire.EndpointState{
		{Endpoint: "e0", Domain: "a", Model: "m", Phase: e0}, {Endpoint: "e1", Domain: "a", Model: "m", Phase: e1},
	}}}
}

// startControl starts a Control of an entry with a directory, and returns the hub of a lease holder that is linked to it.
func startControl(t *testing.T, directory *endpoint.Directory) *channel.Hub {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	logger := process.NewLogger(io.Discard, "error", "test", "entry")
	self := wire.Hello{Instance: "a0", Domain: "a", Program: wire.ProgramEntry}
	hub := channel.NewHub(self, logger)
	holder := channel.NewHub(wire.Hello{Instance: "h", Domain: "a", Program: wire.ProgramDuties, Epoch: 1}, logger)
	clock := clockwork.NewRealClock()
	control := NewControl(ctx, self, hub, directory, queue.NewSet(ctx, clock), document.NewCurrent(), noAnnouncer{}, clock, logger)
	router, err := channel.NewRouter(logger)
	if err != nil {
		t.Fatal(err)
	}
	control.AddHandlers(router)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = router.Run(ctx)
	}()
	<-router.Running()
	server := httptest.NewServer(hub)
	t.Cleanup(func() {
		cancel()
		_ = holder.Close()
		_ = hub.Close()
		<-done
		server.Close()
	})
	up, err := holder.Subscribe(ctx, channel.TopicLinkUp)
	if err != nil {
		t.Fatal(err)
	}
	holder.Dial(ctx, strings.TrimPrefix(server.URL, "http://"))
	select {
	case m := <-up:
		m.Ack()
	case <-ctx.Done():
		t.Fatal("the holder was not linked")
	}
	return holder
}

// waitUntil waits until a condition holds, and fails the test if it does not in time.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(controlTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// TestHolderMessagesAreAppliedInOrder guards against refused requests while a lease holder takes engines out of service one after the
// other. Engine e0 comes back and e1 is drained next: in the order of the holder's messages one of them is always usable. If a message
// overtakes one of another topic whose handler is slow, none is, and the entry refuses requests.
func TestHolderMessagesAreAppliedInOrder(t *testing.T) {
	const ready, loading, draining = wire.EndpointPhaseReady, wire.EndpointPhaseLoading, wire.EndpointPhaseDraining
	drainOf := func(order wire.OrderId, id wire.EndpointId) controlMessage {
		return controlMessage{TopicDrainBegin, wire.DrainBegin{Order: order, Endpoint: id, Epoch: 1}}
	}
	endOf := func(order wire.OrderId) controlMessage {
		return controlMessage{TopicDrainEnd, wire.DrainEnd{Order: order, Epoch: 1}}
	}
	for name, test := range map[string]struct {
		// first is applied before the test, held is the message whose handler is held up, and next follows it.
		first, next []controlMessage
		held        controlMessage
	}{
		"drain overtakes states": {
			first: []controlMessage{statesMessage(1, loading, ready)},
			held:  statesMessage(2, loading, ready),
			next:  []controlMessage{statesMessage(3, ready, draining), drainOf("o1", "e1")},
		},
		"states overtake the end of a drain": {
			first: []controlMessage{statesMessage(1, ready, ready), drainOf("o0", "e0")},
			held:  endOf("other"),
			next:  []controlMessage{endOf("o0"), statesMessage(2, ready, draining), drainOf("o1", "e1")},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var armed atomic.Bool
			entered, release := make(chan struct{}), make(chan struct{})
			directory := endpoint.NewDirectory(endpoint.WithOnChange(func() {
				if armed.Swap(false) {
					close(entered)
					<-release
				}
			}))
			usable := func(other wire.EndpointId) int {
				return endpoint.CountEligible(directory.View().Model("m"), endpoint.Need{Excluded: []wire.EndpointId{other}})
			}
			holder := startControl(t, directory)
			send := func(list ...controlMessage) {
				for _, m := range list {
					if err := channel.Send(holder, "a0", m.topic, m.v); err != nil {
						t.Error(err)
					}
				}
			}
			for _, m := range test.first {
				send(m)
				waitUntil(t, "the endpoints are listed", func() bool { return len(directory.View().Model("m")) == 2 })
			}
			waitUntil(t, "only e1 is usable", func() bool { return usable("e1") == 0 && usable("e0") == 1 })
			armed.Store(true)
			send(test.held)
			<-entered
			send(test.next...)
			for start := time.Now(); time.Since(start) < overtakeTime; time.Sleep(time.Millisecond) {
				if usable("") == 0 {
					t.Error("no engine is usable while the handler of an earlier message is held up")
					break
				}
			}
			close(release)
			waitUntil(t, "only e0 is usable", func() bool { return usable("e1") == 1 && usable("e0") == 0 })
		})
	}
}
