// Package billing protects an entry's usage totals against the loss of the instance. A peer holds the newest totals before an
// answer ends, the table gets them every few seconds, and an instance writes the totals that it holds for a dead peer.
package billing

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/shared/usage"
	"cowslipshunt.example/wire"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
)

// Topics of the messages between recorders.
const (
	TopicTotals = "UsageTotals"
	TopicHeld   = "UsageHeld"
	TopicStored = "UsageStored"
)

const (
	// holdTimeout bounds how long an answer waits for a peer or the table to have its usage.
	holdTimeout    = 300 * time.Millisecond
	resendInterval = 100 * time.Millisecond
	storeInterval  = 3 * time.Second
	orphanInterval = time.Second
	// orphanDelay is how long a peer must be unreachable before an instance that holds its totals writes them to the table.
	orphanDelay = 3 * time.Second
)

var (
	heldInTime = metrics.NewCounter(`entry_usage_held_total{outcome="held"}`)
	heldLate   = metrics.NewCounter(`entry_usage_held_total{outcome="late"}`)
	// orphans is the number of unreachable incarnations whose totals are held here and not yet written to the table.
	orphans = metrics.NewGauge("entry_usage_orphans", nil)
	// unstored is the number of changes of this incarnation's totals that are not in the table yet.
	unstored = metrics.NewGauge("entry_usage_unstored_requests", nil)
)

// Links sends messages over the control links to peers.
type Links interface {
	message.Publisher
	// Links returns the linked peers.
	Links() []wire.Hello
}

// Recorder adds up the usage of one incarnation's requests, and copies the totals to a peer and to the table.
type Recorder struct {
	self       wire.Hello
	meter      *usage.Meter
	peerTotals *usage.PeerTotals
	store      *rowStore
	links      Links
	clock      clockwork.Clock
	logger     *log.Logger
	wakeSend   chan struct{}
	loops      sync.WaitGroup

	mu sync.Mutex
	// safeSequence is the sequence number up to which a peer or the table has had the totals, storedSequence the one up to
	// which the table has them.
	safeSequence   int
	storedSequence int
	// waiters maps the channel of each waiting request to the sequence number that it waits for. The channel is closed once
	// safeSequence has reached that number.
	waiters map[chan struct{}]int
	// peer holds this incarnation's totals up to the sequence number peerSequence. A restarted peer holds nothing.
	peer         wire.Hello
	peerSequence int
	// holders contains the peers that were sent totals which the table may not have yet.
	holders map[wire.InstanceName]bool
	// unreachableSince is when each peer whose totals are held here was first found unreachable.
	unreachableSince map[wire.InstanceName]time.Time
}

// New returns a recorder that runs until ctx ends.
func New(ctx context.Context, self wire.Hello, table Table, links Links, clock clockwork.Clock, logger *log.Logger) *Recorder {
	r := newRecorder(self, table, links, clock, logger)
	r.runPeriodically(ctx, resendInterval, r.wakeSend, func(context.Context) { r.sendToPeer() })
	r.runPeriodically(ctx, storeInterval, nil, func(ctx context.Context) { r.storeOwn(ctx, false) })
	r.runPeriodically(ctx, orphanInterval, nil, func(ctx context.Context) { r.storeOrphans(ctx, orphanDelay) })
	return r
}

// newRecorder returns a recorder without background loops.
func newRecorder(self wire.Hello, table Table, links Links, clock clockwork.Clock, logger *log.Logger) *Recorder {
	return &Recorder{
		self:             self,
		meter:            usage.NewMeter(self.Incarnation),
		peerTotals:       usage.NewPeerTotals(),
		store:            &rowStore{table: table},
		links:            links,
		clock:            clock,
		logger:           logger,
		wakeSend:         make(chan struct{}, 1),
		waiters:          map[chan struct{}]int{},
		holders:          map[wire.InstanceName]bool{},
		unreachableSince: map[wire.InstanceName]time.Time{},
	}
}

// runPeriodically calls f in the background until ctx ends: after each interval, and early on a receive from wake.
func (r *Recorder) runPeriodically(ctx context.Context, interval time.Duration, wake <-chan struct{}, f func(context.Context)) {
	r.loops.Add(1)
	go func() {
		defer r.loops.Done()
		for ctx.Err() == nil {
			select {
			case <-wake:
			case <-r.clock.After(interval):
			case <-ctx.Done():
				return
			}
			f(ctx)
		}
	}()
}

// AddHandlers adds handlers for the topics of this package to router.
func (r *Recorder) AddHandlers(router *message.Router, hub *channel.Hub) {
	channel.Handle(router, hub, TopicTotals, r.handleTotals)
	channel.Handle(router, hub, TopicHeld, r.handleHeld)
	channel.Handle(router, hub, TopicStored, r.handleStored)
}

// Record adds a request's figure to the totals and waits at most holdTimeout until a peer or the table has it. Without a
// reachable peer the answer goes out all the same, and only this instance has the figure until it is written to the table.
func (r *Recorder) Record(ctx context.Context, f wire.UsageFigure) {
	sequence := r.meter.Add(f)
	safe := make(chan struct{})
	r.mu.Lock()
	if r.safeSequence >= sequence {
		r.mu.Unlock()
		return
	}
	r.waiters[safe] = sequence
	r.mu.Unlock()
	defer r.removeWaiter(safe)
	r.wakeSender()
	select {
	case <-safe:
		heldInTime.Inc()
	case <-r.clock.After(holdTimeout):
		heldLate.Inc()
	case <-ctx.Done():
	}
}

// wakeSender makes the loop that sends to the peer run now.
func (r *Recorder) wakeSender() {
	select {
	case r.wakeSend <- struct{}{}:
	default:
	}
}

func (r *Recorder) removeWaiter(safe chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiters, safe)
}

// markSafe records that a peer or the table has the totals up to a sequence number, and wakes the requests that wait for it.
func (r *Recorder) markSafe(sequence int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.safeSequence = max(r.safeSequence, sequence)
	for safe, waited := range r.waiters {
		if waited <= r.safeSequence {
			close(safe)
			delete(r.waiters, safe)
		}
	}
}

// sendToPeer sends the chosen peer what changed since its last confirmation. A peer that has confirmed nothing yet gets all totals.
func (r *Recorder) sendToPeer() {
	peer, from := r.choosePeer()
	if peer == "" || from >= r.meter.Sequence() {
		return
	}
	r.mu.Lock()
	r.holders[peer] = true
	r.mu.Unlock()
	if err := channel.Send(r.links, peer, TopicTotals, r.meter.Since(from)); err != nil {
		r.logger.Debug().Err(err).Str("Peer", string(peer)).Msg("cannot send usage totals to the peer; retrying")
	}
}

// choosePeer returns the linked entry that comes next after this instance in the ring of this failure domain's entries, ordered by
// name, and the sequence number up to which it holds the totals. The ring spreads the load. The name is empty if no entry is linked.
func (r *Recorder) choosePeer() (wire.InstanceName, int) {
	var next, first wire.Hello
	for _, hello := range r.links.Links() {
		if hello.Program != wire.ProgramEntry || hello.Domain != r.self.Domain {
			continue
		}
		if first.Instance == "" || hello.Instance < first.Instance {
			first = hello
		}
		if hello.Instance > r.self.Instance && (next.Instance == "" || hello.Instance < next.Instance) {
			next = hello
		}
	}
	if next.Instance == "" {
		next = first
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if next.Incarnation != r.peer.Incarnation {
		r.peer, r.peerSequence = next, 0
	}
	return next.Instance, r.peerSequence
}

// notifyHolders sends each peer that was sent totals the sequence number up to which the table has them. It removes an earlier peer
// from holders once the message was sent; one that cannot be reached now is notified after the next write.
func (r *Recorder) notifyHolders(stored wire.UsageStored) {
	r.mu.Lock()
	holders := slices.Collect(maps.Keys(r.holders))
	r.mu.Unlock()
	for _, name := range holders {
		if channel.Send(r.links, name, TopicStored, stored) != nil {
			continue
		}
		r.mu.Lock()
		if name != r.peer.Instance {
			delete(r.holders, name)
		}
		r.mu.Unlock()
	}
}

// handleTotals merges a peer's totals into those held for it and confirms them, unless the limit on held incarnations is reached.
func (r *Recorder) handleTotals(_ context.Context, from wire.InstanceName, totals wire.UsageTotals) error {
	if !r.peerTotals.Merge(from, totals) {
		return nil
	}
	held := wire.UsageHeld{Holder: r.self.Incarnation, Incarnation: totals.Incarnation, Sequence: totals.Sequence}
	return channel.Send(r.links, from, TopicHeld, held)
}

// handleHeld applies a peer's confirmation that it holds this incarnation's totals up to a sequence number.
func (r *Recorder) handleHeld(_ context.Context, _ wire.InstanceName, held wire.UsageHeld) error {
	if held.Incarnation != r.self.Incarnation {
		return nil
	}
	r.mu.Lock()
	if held.Holder == r.peer.Incarnation {
		r.peerSequence = max(r.peerSequence, held.Sequence)
	}
	r.mu.Unlock()
	r.markSafe(held.Sequence)
	if r.meter.Sequence() > held.Sequence {
		r.wakeSender()
	}
	return nil
}

// handleStored drops totals held for a peer if the table has them now.
func (r *Recorder) handleStored(_ context.Context, _ wire.InstanceName, stored wire.UsageStored) error {
	r.peerTotals.DropStored(stored.Incarnation, stored.Sequence)
	return nil
}

// Close waits for the background loops to end, then writes the last totals and those held for unreachable peers. It retries
// until the table has them all, and returns ctx's error if ctx ends first.
func (r *Recorder) Close(ctx context.Context) error {
	r.loops.Wait()
	for !r.flush(ctx) {
		select {
		case <-r.clock.After(resendInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
