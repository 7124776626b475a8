// Package follower keeps an entry on the newest accepted document, from the platform's table and from peers.
package follower

import (
	"context"
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
	TopicAsk     = "DocumentAsk"
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
	// changed wakes the poll after a change, as the new document may have a shorter validity.
	changed chan struct{}
}

// New returns a follower that begins with Start and runs until ctx ends.
func New(ctx context.Context, self wire.Hello, current *document.Current, store Store, hub *channel.Hub, clock clockwork.Clock, logger *log.Logger) *Follower {
	f := &Follower{self: self, current: current, store: store, hub: hub, clock: clock, logger: logger, start: make(chan struct{}), changed: make(chan struct{}, 1)}
	f.every(ctx, f.changed, func() time.Duration { return f.interval()*3/4 + rand.N(f.interval()/2) }, f.poll)
	f.every(ctx, nil, func() time.Duration { return noticeEvery }, func(context.Context) { f.notify("") })
	f.every(ctx, nil, func() time.Duration { return f.interval() / 2 }, f.ask)
	return f
}

// Start lets the follower begin, once its handlers are routed.
func (f *Follower) Start() {
	close(f.start)
}

// every runs do again and again, sooner when it is woken, from Start until ctx ends.
func (f *Follower) every(ctx context.Context, woken <-chan struct{}, interval func() time.Duration, do func(context.Context)) {
	go func() {
		select {
		case <-f.start:
		case <-ctx.Done():
		}
		for ctx.Err() == nil {
			do(ctx)
			select {
			case <-f.clock.After(interval()):
			case <-woken:
			case <-ctx.Done():
			}
		}
	}()
}

// Route adds the handlers of this package's topics.
func (f *Follower) Route(router *message.Router) {
	channel.Handle(router, f.hub, TopicNotice, f.takeNotice)
	channel.Handle(router, f.hub, TopicAsk, f.takeAsk)
	channel.Handle(router, f.hub, TopicRequest, f.takeRequest)
	channel.Handle(router, f.hub, TopicBody, f.takeBody)
}

// Announce tells every linked instance that a version is in force here.
func (f *Follower) Announce(a *document.Accepted) {
	f.logger.Info().Int("Version", int(a.Version)).Str("Digest", string(a.Digest)).Msg("document in force")
	f.notify("")
	select {
	case f.changed <- struct{}{}:
	default:
	}
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
	if notice, known := f.notice(0); known {
		_ = channel.Send(f.hub, to, TopicNotice, notice)
	}
}

// poll asks the table for the newest version.
func (f *Follower) poll(ctx context.Context) {
	asked := f.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readWithin)
	defer cancel()
	before := f.current.Load()
	rows, err := f.store.Read(ctx, Table, KeyCurrent)
	if err != nil {
		pollsFailed.Inc()
		f.logger.Debug().Err(err).Msg("cannot read the document's row")
		return
	}
	row, err := decodeRow(rows)
	if err != nil {
		f.logger.Error().Err(err).Msg("the document's row does not decode")
		return
	}
	f.judge(before, row)
	if row.Version > f.current.Version() && !f.fetch(ctx, row) {
		return
	}
	if a := f.current.Load(); a != nil && a.Version == row.Version && a.Digest == row.Digest {
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

func (f *Follower) takeNotice(_ context.Context, from wire.InstanceName, n wire.DocumentNotice) error {
	if n.Version > f.current.Version() {
		if !f.asked.first(n.Version, f.clock.Now()) {
			return nil
		}
		return channel.Send(f.hub, from, TopicRequest, wire.DocumentRequest{Version: n.Version})
	}
	f.confirmFrom(n)
	return nil
}

func (f *Follower) takeRequest(_ context.Context, from wire.InstanceName, r wire.DocumentRequest) error {
	a := f.current.Load()
	if a == nil || a.Version < r.Version {
		return nil
	}
	return channel.Send(f.hub, from, TopicBody, wire.DocumentBody{Version: a.Version, Digest: a.Digest, Text: a.Text})
}
