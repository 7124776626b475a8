// Package follower keeps an entry on the newest accepted document, from the platform's table and from peers.
package follower

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
)

// Topics of this package's messages.
const (
	TopicNotice  = "DocumentNotice"
	TopicRequest = "DocumentRequest"
	TopicBody    = "DocumentBody"
	TopicApplied = "DocumentApplied"
)

// Times of following.
const (
	pollEvery   = 2 * time.Second
	noticeEvery = time.Second
	readWithin  = 3 * time.Second
	// askAgain is when another peer is asked for a document that the first one has not sent.
	askAgain = 500 * time.Millisecond
)

// Keys of the document's table.
const (
	Table      = "document"
	KeyCurrent = "current"
)

var pollsFailed = metrics.NewCounter("entry_document_polls_failed_total")

// Store is where accepted documents are kept.
type Store interface {
	Read(ctx context.Context, table string, keys ...string) ([]wire.Row, error)
	GetObject(ctx context.Context, name wire.Digest) ([]byte, error)
}

// Follower puts newer documents in force and tells peers of them.
type Follower struct {
	self    wire.Hello
	current *document.Current
	store   Store
	hub     *channel.Hub
	clock   clockwork.Clock
	logger  *log.Logger
	// confirmed is when the version in force was last known to be the newest, in Unix nanoseconds; zero is never.
	confirmed atomic.Int64
	start     chan struct{}
	asked     asked
}

// New returns a follower that begins with Start and runs until ctx ends.
func New(ctx context.Context, self wire.Hello, current *document.Current, store Store, hub *channel.Hub, clock clockwork.Clock, logger *log.Logger) *Follower {
	f := &Follower{self: self, current: current, store: store, hub: hub, clock: clock, logger: logger, start: make(chan struct{})}
	f.every(ctx, func() time.Duration { return pollEvery*3/4 + rand.N(pollEvery/2) }, f.poll)
	f.every(ctx, func() time.Duration { return noticeEvery }, func(context.Context) { f.notify("") })
	return f
}

// Start lets the follower begin, once its handlers are routed.
func (f *Follower) Start() {
	close(f.start)
}

// every runs do again and again, from Start until ctx ends.
func (f *Follower) every(ctx context.Context, interval func() time.Duration, do func(context.Context)) {
	go func() {
		select {
		case <-f.start:
		case <-ctx.Done():
		}
		for ctx.Err() == nil {
			do(ctx)
			select {
			case <-f.clock.After(interval()):
			case <-ctx.Done():
			}
		}
	}()
}

// Route adds the handlers of this package's topics.
func (f *Follower) Route(router *message.Router) {
	channel.Handle(router, f.hub, TopicNotice, f.takeNotice)
	channel.Handle(router, f.hub, TopicRequest, f.takeRequest)
	channel.Handle(router, f.hub, TopicBody, f.takeBody)
}

// SinceConfirmed returns how long ago the document in force was last known to be the newest.
func (f *Follower) SinceConfirmed() time.Duration {
	return f.clock.Since(time.Unix(0, f.confirmed.Load()))
}

// Announce tells every linked instance that a version is in force here.
func (f *Follower) Announce(a *document.Accepted) {
	f.logger.Info().Int("Version", int(a.Version)).Str("Digest", string(a.Digest)).Msg("document in force")
	f.notify("")
	applied := wire.DocumentApplied{Version: a.Version, Instance: f.self.Instance, Domain: f.self.Domain}
	if err := channel.Send(f.hub, "", TopicApplied, applied); err != nil {
		f.logger.Debug().Err(err).Msg("cannot announce a document")
	}
}

// Greet tells a peer that has just been linked which version is in force here.
func (f *Follower) Greet(peer wire.InstanceName) {
	f.notify(peer)
	if a := f.current.Load(); a != nil {
		applied := wire.DocumentApplied{Version: a.Version, Instance: f.self.Instance, Domain: f.self.Domain}
		_ = channel.Send(f.hub, peer, TopicApplied, applied)
	}
}

func (f *Follower) notify(to wire.InstanceName) {
	a := f.current.Load()
	if a == nil {
		return
	}
	notice := wire.DocumentNotice{Version: a.Version, Digest: a.Digest, ConfirmedAgoMillis: int(f.SinceConfirmed().Milliseconds())}
	_ = channel.Send(f.hub, to, TopicNotice, notice)
}

// poll asks the table for the newest version.
func (f *Follower) poll(ctx context.Context) {
	asked := f.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readWithin)
	defer cancel()
	rows, err := f.store.Read(ctx, Table, KeyCurrent)
	if err != nil {
		pollsFailed.Inc()
		f.logger.Debug().Err(err).Msg("cannot read the document's row")
		return
	}
	if len(rows) == 0 {
		return
	}
	var row wire.DocumentRow
	if err := json.Unmarshal(rows[0].Value, &row); err != nil {
		f.logger.Error().Err(err).Msg("the document's row does not decode")
		return
	}
	if row.Version > f.current.Version() && !f.fetch(ctx, row) {
		return
	}
	if f.current.Version() >= row.Version {
		f.confirm(asked)
	}
}

func (f *Follower) fetch(ctx context.Context, row wire.DocumentRow) bool {
	text, err := f.store.GetObject(ctx, row.Digest)
	if err != nil {
		f.logger.Warn().Err(err).Int("Version", int(row.Version)).Msg("cannot read a document")
		return false
	}
	return f.Take(row.Version, row.Digest, text)
}

// Take puts a document in force if it is newer, and tells whether it is sound.
func (f *Follower) Take(version wire.DocumentVersion, digest wire.Digest, text []byte) bool {
	if _, err := f.current.Take(version, digest, text); err != nil {
		f.logger.Error().Err(err).Msg("a document was not taken")
		return false
	}
	return true
}

// confirm notes that the version in force was the newest at a time.
func (f *Follower) confirm(at time.Time) {
	for {
		old := f.confirmed.Load()
		if at.UnixNano() <= old || f.confirmed.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

func (f *Follower) takeNotice(_ context.Context, from wire.InstanceName, n wire.DocumentNotice) error {
	if n.Version > f.current.Version() {
		if !f.asked.first(n.Version, f.clock.Now()) {
			return nil
		}
		return channel.Send(f.hub, from, TopicRequest, wire.DocumentRequest{Version: n.Version})
	}
	if n.Version == f.current.Version() {
		f.confirm(f.clock.Now().Add(-time.Duration(n.ConfirmedAgoMillis) * time.Millisecond))
	}
	return nil
}

func (f *Follower) takeRequest(_ context.Context, from wire.InstanceName, r wire.DocumentRequest) error {
	a := f.current.Load()
	if a == nil || a.Version < r.Version {
		return nil
	}
	return channel.Send(f.hub, from, TopicBody, wire.DocumentBody{Version: a.Version, Digest: a.Digest, Text: a.Text})
}

func (f *Follower) takeBody(_ context.Context, _ wire.InstanceName, b wire.DocumentBody) error {
	_, err := f.current.Take(b.Version, b.Digest, b.Text)
	return err
}
