// Package follower keeps an entry's configuration document up to date from the platform's table and from peers.
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

// Topics of the messages between followers.
const (
	TopicNotice  = "DocumentNotice"
	TopicAsk     = "DocumentAsk"
	TopicRequest = "DocumentRequest"
	TopicBody    = "DocumentBody"
	TopicApplied = "DocumentApplied"
)

const (
	// maxPollInterval is the poll interval while no key needs a shorter one.
	maxPollInterval = 2 * time.Second
	noticeInterval  = time.Second
	readTimeout     = 3 * time.Second
	// requestRetryDelay is the time after which another peer is asked for a document that the first one has not sent.
	requestRetryDelay = 500 * time.Millisecond
)

// Table is the table with the rows of accepted documents. KeyCurrent is the key of the row with the newest version; VersionKey
// returns the key of any other.
const (
	Table      = "document"
	KeyCurrent = "current"
)

var pollsFailed = metrics.NewCounter("entry_document_polls_failed_total")

// Store reads accepted documents from the platform.
type Store interface {
	Read(ctx context.Context, table string, keys ...string) ([]wire.Row, error)
	GetObject(ctx context.Context, name wire.Digest) ([]byte, error)
}

// Follower puts newer documents in force and announces them to peers.
type Follower struct {
	self    wire.Hello
	current *document.Current
	store   Store
	hub     *channel.Hub
	clock   clockwork.Clock
	logger  *log.Logger
	// confirmedNanos is the latest time at which the version in force was known to be the newest, in Unix nanoseconds; zero
	// means never.
	confirmedNanos atomic.Int64
	started        chan struct{}
	requests       requestLimiter
	// wakePoll wakes the poll loop after a change of document: keys of the new one may have a shorter validity.
	wakePoll chan struct{}
}

// New returns a follower that runs from Start until ctx ends.
func New(ctx context.Context, self wire.Hello, current *document.Current, store Store, hub *channel.Hub, clock clockwork.Clock, logger *log.Logger) *Follower {
	f := &Follower{self: self, current: current, store: store, hub: hub, clock: clock, logger: logger, started: make(chan struct{}), wakePoll: make(chan struct{}, 1)}
	f.runPeriodically(ctx, f.wakePoll, func() time.Duration { return f.pollInterval()*3/4 + rand.N(f.pollInterval()/2) }, f.poll)
	f.runPeriodically(ctx, nil, func() time.Duration { return noticeInterval }, func(context.Context) { f.sendNotice("") })
	f.runPeriodically(ctx, nil, func() time.Duration { return f.pollInterval() / 2 }, f.askForConfirmation)
	return f
}

// Start starts polling and sending notices. Call it once, after AddHandlers and when the message router runs.
func (f *Follower) Start() {
	close(f.started)
}

// runPeriodically calls fn repeatedly from Start until ctx ends: after each interval, and early on a receive from wake.
func (f *Follower) runPeriodically(ctx context.Context, wake <-chan struct{}, interval func() time.Duration, fn func(context.Context)) {
	go func() {
		select {
		case <-f.started:
		case <-ctx.Done():
		}
		for ctx.Err() == nil {
			fn(ctx)
			select {
			case <-f.clock.After(interval()):
			case <-wake:
			case <-ctx.Done():
			}
		}
	}()
}

// AddHandlers adds handlers for the topics of this package to router.
func (f *Follower) AddHandlers(router *message.Router) {
	channel.Handle(router, f.hub, TopicNotice, f.handleNotice)
	channel.Handle(router, f.hub, TopicAsk, f.handleAsk)
	channel.Handle(router, f.hub, TopicRequest, f.handleRequest)
	channel.Handle(router, f.hub, TopicBody, f.handleBody)
}

// Announce logs the document that has come into force here, wakes the poll loop and sends every linked instance the version.
func (f *Follower) Announce(a *document.Accepted) {
	f.logger.Info().Int("Version", int(a.Version)).Str("Digest", string(a.Digest)).Msg("document in force")
	f.sendNotice("")
	select {
	case f.wakePoll <- struct{}{}:
	default:
	}
	applied := wire.DocumentApplied{Version: a.Version, Instance: f.self.Instance, Domain: f.self.Domain}
	if err := channel.Send(f.hub, "", TopicApplied, applied); err != nil {
		f.logger.Debug().Err(err).Msg("cannot announce the document in force to peers")
	}
}

// AnnounceTo sends a newly linked peer the version in force here.
func (f *Follower) AnnounceTo(peer wire.InstanceName) {
	f.sendNotice(peer)
	if a := f.current.Load(); a != nil {
		applied := wire.DocumentApplied{Version: a.Version, Instance: f.self.Instance, Domain: f.self.Domain}
		_ = channel.Send(f.hub, peer, TopicApplied, applied)
	}
}

// sendNotice sends a notice of the document in force to one peer, or to all linked ones if the name is empty.
func (f *Follower) sendNotice(to wire.InstanceName) {
	if notice, known := f.newNotice(0); known {
		_ = channel.Send(f.hub, to, TopicNotice, notice)
	}
}

// poll reads the newest version from the table, puts it in force and records the confirmation.
func (f *Follower) poll(ctx context.Context) {
	readAt := f.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	before := f.current.Load()
	rows, err := f.store.Read(ctx, Table, KeyCurrent)
	if err != nil {
		pollsFailed.Inc()
		f.logger.Debug().Err(err).Msg("cannot read the current document's row; retrying at the next poll")
		return
	}
	row, err := decodeRow(rows)
	if err != nil {
		f.logger.Error().Err(err).Msg("cannot decode the current document's row; retrying at the next poll")
		return
	}
	f.checkPreviousAccepted(before, row)
	if row.Version > f.current.Version() && !f.fetchAndApply(ctx, row) {
		return
	}
	if a := f.current.Load(); a != nil && a.Version == row.Version && a.Digest == row.Digest {
		f.confirm(readAt)
	}
}

// fetchAndApply puts the document of a row in force and reports whether that succeeded.
func (f *Follower) fetchAndApply(ctx context.Context, row wire.DocumentRow) bool {
	text, err := f.store.GetObject(ctx, row.Digest)
	if err != nil {
		f.logger.Warn().Err(err).Int("Version", int(row.Version)).Msg("cannot fetch the document's text; retrying at the next poll")
		return false
	}
	return f.Apply(row.Version, row.Digest, text)
}

// Apply puts a document in force if it is newer than the present one, and reports whether the document is valid.
func (f *Follower) Apply(version wire.DocumentVersion, digest wire.Digest, text []byte) bool {
	if _, err := f.current.Apply(version, digest, text); err != nil {
		f.logger.Error().Err(err).Msg("rejected an invalid document; the one in force stays")
		return false
	}
	return true
}

// handleNotice requests the text of a newer document from the peer that announced it. A notice of the document in force may
// confirm it.
func (f *Follower) handleNotice(_ context.Context, from wire.InstanceName, n wire.DocumentNotice) error {
	if n.Version > f.current.Version() {
		if !f.requests.allow(n.Version, f.clock.Now()) {
			return nil
		}
		return channel.Send(f.hub, from, TopicRequest, wire.DocumentRequest{Version: n.Version})
	}
	f.applyConfirmation(n)
	return nil
}

// handleRequest sends the document in force to a peer that requested this version or an older one.
func (f *Follower) handleRequest(_ context.Context, from wire.InstanceName, r wire.DocumentRequest) error {
	a := f.current.Load()
	if a == nil || a.Version < r.Version {
		return nil
	}
	return channel.Send(f.hub, from, TopicBody, wire.DocumentBody{Version: a.Version, Digest: a.Digest, Text: a.Text})
}
