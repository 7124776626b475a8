package follower

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

var errStoreDown = errors.New("the store is down")

// history is the test oracle: all accepted documents and the times of their acceptance. Version n is at index n-1.
type history struct {
	rows  []wire.DocumentRow
	texts [][]byte
	at    []time.Time
}

// accept adds a text as the newest version.
func (h *history) accept(text []byte, at time.Time) {
	version := wire.DocumentVersion(len(h.rows) + 1)
	h.rows = append(h.rows, wire.DocumentRow{Version: version, Digest: document.Digest(text), At: at})
	h.texts = append(h.texts, text)
	h.at = append(h.at, at)
}

// newestAt returns the newest version that was accepted before a time.
func (h *history) newestAt(at time.Time) wire.DocumentVersion {
	newest := wire.DocumentVersion(0)
	for i, accepted := range h.at {
		if accepted.Before(at) {
			newest = wire.DocumentVersion(i + 1)
		}
	}
	return newest
}

// storeView is the store as one instance reaches it.
type storeView struct {
	h *history
	// down makes every call fail, objectsLost only calls of GetObject.
	down, objectsLost bool
}

// Read returns the row of the first key.
func (s *storeView) Read(_ context.Context, _ string, keys ...string) ([]wire.Row, error) {
	if s.down {
		return nil, errStoreDown
	}
	for i := len(s.h.rows) - 1; i >= 0; i-- {
		if keys[0] == KeyCurrent || keys[0] == VersionKey(s.h.rows[i].Version) {
			value, err := json.Marshal(s.h.rows[i])
			return []wire.Row{{Key: keys[0], Value: value}}, err
		}
	}
	return nil, nil
}

// GetObject returns the accepted text with a digest.
func (s *storeView) GetObject(_ context.Context, name wire.Digest) ([]byte, error) {
	for i, row := range s.h.rows {
		if row.Digest == name && !s.down && !s.objectsLost {
			return s.h.texts[i], nil
		}
	}
	return nil, errStoreDown
}

// instance is an entry with its follower. highest is the highest version observed in force there since its last restart.
type instance struct {
	follower *Follower
	current  *document.Current
	store    *storeView
	highest  wire.DocumentVersion
}

// inFlightMessage is a message in flight: an ask, a notice or a body.
type inFlightMessage struct {
	to     int
	ask    *wire.DocumentAsk
	from   int
	notice *wire.DocumentNotice
	body   *wire.DocumentBody
}

// simulation holds the instances, the messages in flight between them and the oracle.
type simulation struct {
	ctx       context.Context
	clock     *clockwork.FakeClock
	history   *history
	instances []*instance
	inFlight  []inFlightMessage
}

func newSimulation(ctx context.Context, n int) *simulation {
	sim := &simulation{ctx: ctx, clock: clockwork.NewFakeClock(), history: &history{}}
	for range n {
		in := &instance{store: &storeView{h: sim.history}}
		sim.instances = append(sim.instances, in)
		sim.restartFollower(in)
	}
	return sim
}

// restartFollower replaces an instance's follower by one without a document.
func (sim *simulation) restartFollower(in *instance) {
	logger := process.NewLogger(io.Discard, "error", "test", "follower")
	in.current = document.NewCurrent()
	in.highest = 0
	in.follower = New(sim.ctx, wire.Hello{}, in.current, in.store, channel.NewHub(wire.Hello{}, logger), sim.clock, logger)
}

// testDocument returns a valid document that differs for each n.
func testDocument(n int) []byte {
	return fmt.Appendf(nil, "[[Workspace]]\nName = \"w%d\"\nKeyValidSeconds = %d\n", n, 1+n%5)
}

func (sim *simulation) drawInstance(t *rapid.T) int {
	return rapid.IntRange(0, len(sim.instances)-1).Draw(t, "instance")
}

// deliver delivers a random message in flight, so that messages arrive late and out of order.
func (sim *simulation) deliver(t *rapid.T) {
	if len(sim.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "message")
	m := sim.inFlight[i]
	sim.inFlight = append(sim.inFlight[:i], sim.inFlight[i+1:]...)
	f := sim.instances[m.to].follower
	switch {
	case m.ask != nil:
		if notice, known := f.newNotice(m.ask.At); known {
			sim.inFlight = append(sim.inFlight, inFlightMessage{to: m.from, from: m.to, notice: &notice})
		}
	case m.notice != nil:
		_ = f.handleNotice(sim.ctx, "peer", *m.notice)
		if a := sim.instances[m.from].current.Load(); a != nil && m.notice.Version > f.current.Version() {
			sim.inFlight = append(sim.inFlight, inFlightMessage{to: m.to, body: &wire.DocumentBody{Version: a.Version, Digest: a.Digest, Text: a.Text}})
		}
	case m.body != nil:
		_ = f.handleBody(sim.ctx, "peer", *m.body)
	}
}

// sendForgedBody sends a body that was never accepted, under its own digest or under that of an accepted version. A follower
// that reaches the table must reject it.
func (sim *simulation) sendForgedBody(t *rapid.T) {
	in := sim.instances[sim.drawInstance(t)]
	if in.store.down {
		return
	}
	version := wire.DocumentVersion(rapid.IntRange(1, len(sim.history.rows)+3).Draw(t, "version"))
	forged := testDocument(rapid.IntRange(1000, 1010).Draw(t, "text"))
	digest := document.Digest(forged)
	if n := int(version); n <= len(sim.history.rows) && rapid.Bool().Draw(t, "borrowed digest") {
		digest = sim.history.rows[n-1].Digest
	}
	_ = in.follower.handleBody(sim.ctx, "forger", wire.DocumentBody{Version: version, Digest: digest, Text: forged})
}

// checkInvariants compares every instance with the oracle.
func (sim *simulation) checkInvariants(t *rapid.T) {
	for i, in := range sim.instances {
		a := in.current.Load()
		if a == nil {
			continue
		}
		if a.Version < in.highest {
			t.Fatalf("instance %d went from version %d back to %d", i, in.highest, a.Version)
		}
		in.highest = a.Version
		if int(a.Version) > len(sim.history.rows) || sim.history.rows[a.Version-1].Digest != a.Digest {
			t.Fatalf("instance %d has version %d, digest %s in force, which was never accepted", i, a.Version, a.Digest)
		}
		confirmed := sim.clock.Now().Add(-in.follower.SinceConfirmed())
		if newest := sim.history.newestAt(confirmed); newest > a.Version {
			t.Fatalf("instance %d has version %d confirmed as the newest %v ago, but the newest was %d", i, a.Version, in.follower.SinceConfirmed(), newest)
		}
	}
}

// TestFollowersApplyOnlyAcceptedDocuments runs three followers through new versions, store outages, missing objects, restarts,
// late and reordered messages and forged bodies. It guards against a version that goes back, a document in force that was never
// accepted, and a confirmation for a time at which a newer version had been accepted.
func TestFollowersApplyOnlyAcceptedDocuments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		sim := newSimulation(ctx, 3)
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) { sim.history.accept(testDocument(len(sim.history.rows)), sim.clock.Now()) },
			"wait": func(t *rapid.T) {
				sim.clock.Advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"poll": func(t *rapid.T) { sim.instances[sim.drawInstance(t)].follower.poll(ctx) },
			"fail": func(t *rapid.T) { s := sim.instances[sim.drawInstance(t)].store; s.down = rapid.Bool().Draw(t, "down") },
			"lose": func(t *rapid.T) {
				s := sim.instances[sim.drawInstance(t)].store
				s.objectsLost = rapid.Bool().Draw(t, "lost")
			},
			"notify": func(t *rapid.T) {
				from := sim.drawInstance(t)
				if n, known := sim.instances[from].follower.newNotice(0); known {
					sim.inFlight = append(sim.inFlight, inFlightMessage{to: sim.drawInstance(t), from: from, notice: &n})
				}
			},
			"ask": func(t *rapid.T) {
				from := sim.drawInstance(t)
				a := sim.instances[from].follower.newAsk()
				sim.inFlight = append(sim.inFlight, inFlightMessage{to: sim.drawInstance(t), from: from, ask: &a})
			},
			"deliver": sim.deliver,
			"forge":   sim.sendForgedBody,
			"restart": func(t *rapid.T) { sim.restartFollower(sim.instances[sim.drawInstance(t)]) },
			"":        sim.checkInvariants,
		})
	})
}

// TestPollingKeepsConfirmationWithinShortestValidity runs the poll loop of a follower without peers. It guards against a poll
// interval that lets keys expire although the table answers.
func TestPollingKeepsConfirmationWithinShortestValidity(t *testing.T) {
	const (
		loops    = 3
		step     = 50 * time.Millisecond
		validity = time.Second
	)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	sim := newSimulation(ctx, 1)
	sim.history.accept(testDocument(0), sim.clock.Now())
	f := sim.instances[0].follower
	f.poll(ctx)
	f.Start()
	for range int(10 * time.Second / step) {
		if err := sim.clock.BlockUntilContext(ctx, loops); err != nil {
			t.Fatal(err)
		}
		if since := f.SinceConfirmed(); since > validity {
			t.Fatalf("not confirmed for %v, want at most %v while the table answers", since, validity)
		}
		sim.clock.Advance(step)
	}
}

// TestUnacceptedDocumentIsNotConfirmed applies a forged document while the table is unreachable and then polls the table. It
// guards against confirming that document or not counting it.
func TestUnacceptedDocumentIsNotConfirmed(t *testing.T) {
	sim := newSimulation(t.Context(), 1)
	sim.history.accept(testDocument(0), sim.clock.Now())
	in := sim.instances[0]
	in.store.down = true
	forged := testDocument(1)
	if err := in.follower.handleBody(t.Context(), "forger", wire.DocumentBody{Version: 9, Digest: document.Digest(forged), Text: forged}); err != nil {
		t.Fatal(err)
	}
	in.store.down = false
	before := unacceptedInForce.Get()
	sim.clock.Advance(time.Hour)
	in.follower.poll(t.Context())
	if in.follower.SinceConfirmed() < time.Hour || unacceptedInForce.Get() != before+1 {
		t.Errorf("confirmed %v ago, want at least 1h; %d unaccepted documents counted, want 1", in.follower.SinceConfirmed(), unacceptedInForce.Get()-before)
	}
}
