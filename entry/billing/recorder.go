// Package billing keeps an entry's usage safe: a peer holds the newest totals before an answer ends, the table gets them
// every few seconds, and what a dead peer left behind is written for it.
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

// Topics of this package's messages.
const (
	TopicTotals = "UsageTotals"
	TopicHeld   = "UsageHeld"
	TopicStored = "UsageStored"
)

// Times of keeping usage safe.
const (
	holdWithin  = 300 * time.Millisecond
	resendAfter = 100 * time.Millisecond
	storeEvery  = 3 * time.Second
	rescueEvery = time.Second
	rescueAfter = 3 * time.Second
)

var (
	heldInTime = metrics.NewCounter(`entry_usage_held_total{outcome="held"}`)
	notHeld    = metrics.NewCounter(`entry_usage_held_total{outcome="late"}`)
	// orphans counts the incarnations out of reach whose totals are held here and not in the table yet.
	orphans = metrics.NewGauge("entry_usage_orphans", nil)
	// unstored counts the changes of this incarnation's totals that the table has not got yet.
	unstored = metrics.NewGauge("entry_usage_unstored_requests", nil)
)

// Links are the control links to peers.
type Links interface {
	message.Publisher
	// Links returns the peers that are linked now.
	Links() []wire.Hello
}

// Recorder bills requests of one incarnation.
type Recorder struct {
	self   wire.Hello
	meter  *usage.Meter
	held   *usage.Held
	store  *rows
	links  Links
	clock  clockwork.Clock
	logger *log.Logger
	kick   chan struct{}
	done   sync.WaitGroup

	mu     sync.Mutex
	safe   int
	stored int
	waits  map[chan struct{}]int
	// peer holds this incarnation's totals up to peerAt. A peer that started anew holds nothing.
	peer   wire.Hello
	peerAt int
	// sent names the peers that were sent totals which the table may not have yet.
	sent   map[wire.InstanceName]bool
	absent map[wire.InstanceName]time.Time
}

// New returns a recorder that runs until ctx ends.
func New(ctx context.Context, self wire.Hello, table Table, links Links, clock clockwork.Clock, logger *log.Logger) *Recorder {
	r := newRecorder(self, table, links, clock, logger)
	r.every(ctx, resendAfter, r.kick, func(context.Context) { r.sendToPeer() })
	r.every(ctx, storeEvery, nil, func(ctx context.Context) { r.storeOwn(ctx, false) })
	r.every(ctx, rescueEvery, nil, func(ctx context.Context) { r.rescue(ctx, rescueAfter) })
	return r
}

// newRecorder returns a recorder that does nothing by itself.
func newRecorder(self wire.Hello, table Table, links Links, clock clockwork.Clock, logger *log.Logger) *Recorder {
	return &Recorder{
		self:   self,
		meter:  usage.NewMeter(self.Incarnation),
		held:   usage.NewHeld(),
		store:  &rows{table: table},
		links:  links,
		clock:  clock,
		logger: logger,
		kick:   make(chan struct{}, 1),
		waits:  map[chan struct{}]int{},
		sent:   map[wire.InstanceName]bool{},
		absent: map[wire.InstanceName]time.Time{},
	}
}

// every runs f again and again until ctx ends: after each interval, and at once when kicked.
func (r *Recorder) every(ctx context.Context, interval time.Duration, kick <-chan struct{}, f func(context.Context)) {
	r.done.Add(1)
	go func() {
		defer r.done.Done()
		for ctx.Err() == nil {
			select {
			case <-kick:
			case <-r.clock.After(interval):
			case <-ctx.Done():
				return
			}
			f(ctx)
		}
	}()
}

// Route adds the handlers of this package's topics.
func (r *Recorder) Route(router *message.Router, hub *channel.Hub) {
	channel.Handle(router, hub, TopicTotals, r.takeTotals)
	channel.Handle(router, hub, TopicHeld, r.takeHeld)
	channel.Handle(router, hub, TopicStored, r.takeStored)
}

// Record bills a request and waits until a peer or the table has the figure, but not for long: with no peer in reach, the
// answer goes out and the figure is only here until the table gets it.
func (r *Recorder) Record(ctx context.Context, f wire.UsageFigure) {
	sequence := r.meter.Add(f)
	safe := make(chan struct{})
	r.mu.Lock()
	if r.safe >= sequence {
		r.mu.Unlock()
		return
	}
	r.waits[safe] = sequence
	r.mu.Unlock()
	defer r.forget(safe)
	r.wake()
	select {
	case <-safe:
		heldInTime.Inc()
	case <-r.clock.After(holdWithin):
		notHeld.Inc()
	case <-ctx.Done():
	}
}

func (r *Recorder) wake() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

func (r *Recorder) forget(safe chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waits, safe)
}

// secured notes that everything up to a sequence number is safe.
func (r *Recorder) secured(sequence int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.safe = max(r.safe, sequence)
	for safe, waited := range r.waits {
		if waited <= r.safe {
			close(safe)
			delete(r.waits, safe)
		}
	}
}

// sendToPeer sends what changed since the peer's last confirmation. A peer that is new to this gets everything.
func (r *Recorder) sendToPeer() {
	peer, from := r.choosePeer()
	if peer == "" || from >= r.meter.Sequence() {
		return
	}
	r.mu.Lock()
	r.sent[peer] = true
	r.mu.Unlock()
	if err := channel.Send(r.links, peer, TopicTotals, r.meter.Since(from)); err != nil {
		r.logger.Debug().Err(err).Str("Peer", string(peer)).Msg("cannot send usage")
	}
}

// choosePeer returns the linked entry of this failure domain whose name comes next, so that load spreads, and up to which
// sequence number it holds the totals.
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
		r.peer, r.peerAt = next, 0
	}
	return next.Instance, r.peerAt
}

// tellHolders tells the peers that were sent totals that the table has them. A peer that cannot be told now is told the
// next time.
func (r *Recorder) tellHolders(stored wire.UsageStored) {
	r.mu.Lock()
	holders := slices.Collect(maps.Keys(r.sent))
	r.mu.Unlock()
	for _, name := range holders {
		if channel.Send(r.links, name, TopicStored, stored) != nil {
			continue
		}
		r.mu.Lock()
		if name != r.peer.Instance {
			delete(r.sent, name)
		}
		r.mu.Unlock()
	}
}

func (r *Recorder) takeTotals(_ context.Context, from wire.InstanceName, totals wire.UsageTotals) error {
	if !r.held.Take(from, totals) {
		return nil
	}
	held := wire.UsageHeld{Holder: r.self.Incarnation, Incarnation: totals.Incarnation, Sequence: totals.Sequence}
	return channel.Send(r.links, from, TopicHeld, held)
}

func (r *Recorder) takeHeld(_ context.Context, _ wire.InstanceName, held wire.UsageHeld) error {
	if held.Incarnation != r.self.Incarnation {
		return nil
	}
	r.mu.Lock()
	if held.Holder == r.peer.Incarnation {
		r.peerAt = max(r.peerAt, held.Sequence)
	}
	r.mu.Unlock()
	r.secured(held.Sequence)
	if r.meter.Sequence() > held.Sequence {
		r.wake()
	}
	return nil
}

func (r *Recorder) takeStored(_ context.Context, _ wire.InstanceName, stored wire.UsageStored) error {
	r.held.Stored(stored.Incarnation, stored.Sequence)
	return nil
}

// Close writes the last totals, and those of peers that are out of reach. It returns an error if the table did not take
// them before ctx ended.
func (r *Recorder) Close(ctx context.Context) error {
	r.done.Wait()
	for !r.flush(ctx) {
		select {
		case <-r.clock.After(resendAfter):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
