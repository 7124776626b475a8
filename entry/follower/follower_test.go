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

var errDown = errors.New("the store is down")

// history is the oracle: all that was accepted, version n at place n-1, and when.
type history struct {
	rows  []wire.DocumentRow
	texts [][]byte
	at    []time.Time
}

// accept makes a new version the newest.
func (h *history) accept(text []byte, at time.Time) {
	version := wire.DocumentVersion(len(h.rows) + 1)
	h.rows = append(h.rows, wire.DocumentRow{Version: version, Digest: document.Digest(text), At: at})
	h.texts = append(h.texts, text)
	h.at = append(h.at, at)
}

// newestAt returns the newest version accepted before a time.
func (h *history) newestAt(at time.Time) wire.DocumentVersion {
	newest := wire.DocumentVersion(0)
	for i, accepted := range h.at {
		if accepted.Before(at) {
			newest = wire.DocumentVersion(i + 1)
		}
	}
	return newest
}

// window is one instance's view of the store.
type window struct {
	h *history
	// down fails every call, lost fails those for objects.
	down, lost bool
}

// Read returns rows of the document's table.
func (w *window) Read(_ context.Context, _ string, keys ...string) ([]wire.Row, error) {
	if w.down {
		return nil, errDown
	}
	for i := len(w.h.rows) - 1; i >= 0; i-- {
		if keys[0] == KeyCurrent || keys[0] == VersionKey(w.h.rows[i].Version) {
			value, err := json.Marshal(w.h.rows[i])
			return []wire.Row{{Key: keys[0], Value: value}}, err
		}
	}
	return nil, nil
}

// GetObject returns an accepted text.
func (w *window) GetObject(_ context.Context, name wire.Digest) ([]byte, error) {
	for i, row := range w.h.rows {
		if row.Digest == name && !w.down && !w.lost {
			return w.h.texts[i], nil
		}
	}
	return nil, errDown
}

// instance is one entry's follower with its view of the store, until it is restarted.
type instance struct {
	follower *Follower
	current  *document.Current
	store    *window
	highest  wire.DocumentVersion
}

// parcel is a message on its way.
type parcel struct {
	to     int
	ask    *wire.DocumentAsk
	from   int
	notice *wire.DocumentNotice
	body   *wire.DocumentBody
}

// world is a few instances, the messages between them and the oracle.
type world struct {
	ctx       context.Context
	clock     *clockwork.FakeClock
	history   *history
	instances []*instance
	parcels   []parcel
}

func newWorld(ctx context.Context, n int) *world {
	w := &world{ctx: ctx, clock: clockwork.NewFakeClock(), history: &history{}}
	for range n {
		in := &instance{store: &window{h: w.history}}
		w.instances = append(w.instances, in)
		w.restart(in)
	}
	return w
}

// restart replaces an instance by one that knows nothing.
func (w *world) restart(in *instance) {
	logger := process.NewLogger(io.Discard, "error", "test", "follower")
	in.current = document.NewCurrent()
	in.highest = 0
	in.follower = New(w.ctx, wire.Hello{}, in.current, in.store, channel.NewHub(wire.Hello{}, logger), w.clock, logger)
}

// text returns a sound document that differs for each n.
func text(n int) []byte {
	return fmt.Appendf(nil, "[[Workspace]]\nName = \"w%d\"\nKeyValidSeconds = %d\n", n, 1+n%5)
}

func (w *world) pick(t *rapid.T) int {
	return rapid.IntRange(0, len(w.instances)-1).Draw(t, "instance")
}

// deliver hands one parcel over, in any order and after any time.
func (w *world) deliver(t *rapid.T) {
	if len(w.parcels) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.parcels)-1).Draw(t, "parcel")
	p := w.parcels[i]
	w.parcels = append(w.parcels[:i], w.parcels[i+1:]...)
	f := w.instances[p.to].follower
	switch {
	case p.ask != nil:
		if notice, known := f.notice(p.ask.At); known {
			w.parcels = append(w.parcels, parcel{to: p.from, from: p.to, notice: &notice})
		}
	case p.notice != nil:
		_ = f.takeNotice(w.ctx, "peer", *p.notice)
		if a := w.instances[p.from].current.Load(); a != nil && p.notice.Version > f.current.Version() {
			w.parcels = append(w.parcels, parcel{to: p.to, body: &wire.DocumentBody{Version: a.Version, Digest: a.Digest, Text: a.Text}})
		}
	case p.body != nil:
		_ = f.takeBody(w.ctx, "peer", *p.body)
	}
}

// lie sends a body that no accepted document is: an old text as a new version, a text under another's digest, or a new text.
// A follower that can ask the table must not fall for it.
func (w *world) lie(t *rapid.T) {
	in := w.instances[w.pick(t)]
	if in.store.down {
		return
	}
	version := wire.DocumentVersion(rapid.IntRange(1, len(w.history.rows)+3).Draw(t, "version"))
	made := text(rapid.IntRange(1000, 1010).Draw(t, "text"))
	digest := document.Digest(made)
	if n := int(version); n <= len(w.history.rows) && rapid.Bool().Draw(t, "borrowed digest") {
		digest = w.history.rows[n-1].Digest
	}
	_ = in.follower.takeBody(w.ctx, "liar", wire.DocumentBody{Version: version, Digest: digest, Text: made})
}

// check holds every instance to the oracle.
func (w *world) check(t *rapid.T) {
	for i, in := range w.instances {
		a := in.current.Load()
		if a == nil {
			continue
		}
		if a.Version < in.highest {
			t.Fatalf("instance %d went from version %d back to %d", i, in.highest, a.Version)
		}
		in.highest = a.Version
		if int(a.Version) > len(w.history.rows) || w.history.rows[a.Version-1].Digest != a.Digest {
			t.Fatalf("instance %d has version %d, digest %s in force, which was not accepted", i, a.Version, a.Digest)
		}
		confirmed := w.clock.Now().Add(-in.follower.SinceConfirmed())
		if newest := w.history.newestAt(confirmed); newest > a.Version {
			t.Fatalf("instance %d says version %d was the newest %v ago, which was %d", i, a.Version, in.follower.SinceConfirmed(), newest)
		}
	}
}

// TestFollowersKeepToAcceptedDocuments drives three followers through accepted versions, outages, lost objects, restarts,
// late and reordered messages and lies: versions never go back, nothing is in force that was not accepted, and nobody takes
// a document for confirmed at a time when a newer one was accepted already.
func TestFollowersKeepToAcceptedDocuments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newWorld(ctx, 3)
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) { w.history.accept(text(len(w.history.rows)), w.clock.Now()) },
			"wait": func(t *rapid.T) {
				w.clock.Advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"poll": func(t *rapid.T) { w.instances[w.pick(t)].follower.poll(ctx) },
			"fail": func(t *rapid.T) { s := w.instances[w.pick(t)].store; s.down = rapid.Bool().Draw(t, "down") },
			"lose": func(t *rapid.T) { s := w.instances[w.pick(t)].store; s.lost = rapid.Bool().Draw(t, "lost") },
			"notify": func(t *rapid.T) {
				from := w.pick(t)
				if n, known := w.instances[from].follower.notice(0); known {
					w.parcels = append(w.parcels, parcel{to: w.pick(t), from: from, notice: &n})
				}
			},
			"ask": func(t *rapid.T) {
				from := w.pick(t)
				a := w.instances[from].follower.question()
				w.parcels = append(w.parcels, parcel{to: w.pick(t), from: from, ask: &a})
			},
			"deliver": w.deliver,
			"lie":     w.lie,
			"restart": func(t *rapid.T) { w.restart(w.instances[w.pick(t)]) },
			"":        w.check,
		})
	})
}

// TestConfirmationOutlastsThePollWhileTheTableAnswers lets a lone follower poll on its own and demands that it is always
// confirmed within the shortest validity in force.
func TestConfirmationOutlastsThePollWhileTheTableAnswers(t *testing.T) {
	const (
		loops    = 3
		step     = 50 * time.Millisecond
		validity = time.Second
	)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	w := newWorld(ctx, 1)
	w.history.accept(text(0), w.clock.Now())
	f := w.instances[0].follower
	f.poll(ctx)
	f.Start()
	for range int(10 * time.Second / step) {
		if err := w.clock.BlockUntilContext(ctx, loops); err != nil {
			t.Fatal(err)
		}
		if since := f.SinceConfirmed(); since > validity {
			t.Fatalf("not confirmed for %v while the table answers", since)
		}
		w.clock.Advance(step)
	}
}

// TestUnacceptedDocumentIsNotConfirmed takes a lie while the table is out of reach and lets the table come back.
func TestUnacceptedDocumentIsNotConfirmed(t *testing.T) {
	w := newWorld(t.Context(), 1)
	w.history.accept(text(0), w.clock.Now())
	in := w.instances[0]
	in.store.down = true
	made := text(1)
	if err := in.follower.takeBody(t.Context(), "liar", wire.DocumentBody{Version: 9, Digest: document.Digest(made), Text: made}); err != nil {
		t.Fatal(err)
	}
	in.store.down = false
	before := unaccepted.Get()
	w.clock.Advance(time.Hour)
	in.follower.poll(t.Context())
	if in.follower.SinceConfirmed() < time.Hour || unaccepted.Get() != before+1 {
		t.Errorf("confirmed %v ago, %d alarms", in.follower.SinceConfirmed(), unaccepted.Get()-before)
	}
}
