// Package peer speaks with an entry's peers and with the holder of its failure domain's lease: it takes endpoint states and
// drains, and passes requests on to other failure domains.
package peer

import (
	"context"
	"sync"
	"time"

	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/queue"
	"cowslipshunt.example/wire"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
)

// Topics of this package's messages.
const (
	TopicStates     = "EndpointStates"
	TopicNotice     = "EndpointNotice"
	TopicDrainBegin = "DrainBegin"
	TopicDrainEnd   = "DrainEnd"
	TopicDrain      = "DrainAnswer"
	TopicReport     = "EntryReport"
	TopicApplied    = "DocumentApplied"
)

// reportEvery is how often an entry reports its load to the holder.
const reportEvery = time.Second

var staleOrders = metrics.NewCounter("entry_stale_orders_total")

// Greeter tells a peer that has just been linked what is in force here.
type Greeter interface {
	Greet(peer wire.InstanceName)
}

// Control takes the control messages about endpoints.
type Control struct {
	self      wire.Hello
	hub       *channel.Hub
	directory *endpoint.Directory
	queues    *queue.Set
	current   *document.Current
	greeter   Greeter
	logger    *log.Logger

	mu      sync.Mutex
	applied map[wire.InstanceName]wire.DocumentApplied
	changed chan struct{}
}

// NewControl returns a control that reports load until ctx ends.
func NewControl(ctx context.Context, self wire.Hello, hub *channel.Hub, directory *endpoint.Directory, queues *queue.Set, current *document.Current, greeter Greeter, clock clockwork.Clock, logger *log.Logger) *Control {
	c := &Control{
		self:      self,
		hub:       hub,
		directory: directory,
		queues:    queues,
		current:   current,
		greeter:   greeter,
		logger:    logger,
		applied:   map[wire.InstanceName]wire.DocumentApplied{},
		changed:   make(chan struct{}),
	}
	go func() {
		ticker := clock.NewTicker(reportEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.Chan():
				c.report()
			case <-ctx.Done():
				return
			}
		}
	}()
	return c
}

// Route adds the handlers of this package's topics.
func (c *Control) Route(router *message.Router) {
	channel.Handle(router, c.hub, TopicStates, c.takeStates)
	channel.Handle(router, c.hub, TopicNotice, c.takeNotice)
	channel.Handle(router, c.hub, TopicDrainBegin, c.beginDrain)
	channel.Handle(router, c.hub, TopicDrainEnd, c.endDrain)
	channel.Handle(router, c.hub, TopicApplied, c.takeApplied)
	channel.Handle(router, c.hub, channel.TopicLinkUp, c.linkUp)
}

func (c *Control) takeStates(_ context.Context, from wire.InstanceName, states wire.EndpointStates) error {
	if states.Domain != c.self.Domain {
		return nil
	}
	if c.directory.Apply(states) {
		c.logger.Info().Str("From", string(from)).Int("Epoch", int(states.Epoch)).Int("Sequence", states.Sequence).Int("Endpoints", len(states.Endpoints)).Msg("endpoints changed")
	}
	return nil
}

// takeNotice stops new work to a leaving endpoint and tells the peers of it, once.
func (c *Control) takeNotice(_ context.Context, _ wire.InstanceName, n wire.EndpointNotice) error {
	if n.Domain != c.self.Domain || !c.directory.Leave(n.Endpoint) {
		return nil
	}
	c.logger.Info().Str("Endpoint", string(n.Endpoint)).Str("Reason", n.Reason).Msg("endpoint leaves")
	return channel.Send(c.hub, "", TopicNotice, n)
}

func (c *Control) beginDrain(_ context.Context, from wire.InstanceName, b wire.DrainBegin) error {
	left, taken := c.directory.BeginDrain(b.Order, b.Endpoint, b.Epoch)
	if !taken {
		staleOrders.Inc()
		c.logger.Warn().Str("From", string(from)).Int("Epoch", int(b.Epoch)).Msg("drain from a holder whose epoch is over")
		return nil
	}
	answer := wire.DrainAnswer{Order: b.Order, Endpoint: b.Endpoint, Instance: c.self.Instance, Incarnation: c.self.Incarnation, InFlight: left}
	return channel.Send(c.hub, from, TopicDrain, answer)
}

func (c *Control) endDrain(_ context.Context, _ wire.InstanceName, e wire.DrainEnd) error {
	c.directory.EndDrain(e.Order, e.Epoch)
	return nil
}

// linkUp tells a new peer what is in force here. A peer entry of the same failure domain gets the endpoints too, for it may
// have started while nobody holds the lease.
func (c *Control) linkUp(_ context.Context, from wire.InstanceName, peer wire.Hello) error {
	c.greeter.Greet(from)
	if peer.Program != wire.ProgramEntry || peer.Domain != c.self.Domain {
		return nil
	}
	if states := c.directory.States(); states.Epoch > 0 {
		return channel.Send(c.hub, from, TopicStates, states)
	}
	return nil
}

func (c *Control) takeApplied(_ context.Context, _ wire.InstanceName, a wire.DocumentApplied) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.applied[a.Instance].Version < a.Version {
		c.applied[a.Instance] = a
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return nil
}

// Applied returns the version that each instance has confirmed, and a channel that is closed at the next change.
func (c *Control) Applied() (map[wire.InstanceName]wire.DocumentVersion, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	versions := map[wire.InstanceName]wire.DocumentVersion{c.self.Instance: c.current.Version()}
	for name, a := range c.applied {
		versions[name] = a.Version
	}
	return versions, c.changed
}

// report tells the linked holders of leases this entry's load.
func (c *Control) report() {
	report := wire.EntryReport{
		Instance:        c.self.Instance,
		Incarnation:     c.self.Incarnation,
		Domain:          c.self.Domain,
		DocumentVersion: c.current.Version(),
		InFlight:        []wire.EndpointCount{},
		Queued:          []wire.QueueCount{},
	}
	for _, e := range c.directory.View().All() {
		if n := e.InFlight(); n > 0 {
			report.InFlight = append(report.InFlight, wire.EndpointCount{Endpoint: e.State().Endpoint, InFlight: n})
		}
	}
	for name, n := range c.queues.Waiting() {
		report.Queued = append(report.Queued, wire.QueueCount{Model: wire.ModelName(name), Requests: n})
	}
	for _, hello := range c.hub.Links() {
		if hello.Program == wire.ProgramDuties {
			_ = channel.Send(c.hub, hello.Instance, TopicReport, report)
		}
	}
}
