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

// reportInterval is how often an entry reports its load to the holder.
const reportInterval = time.Second

var staleDrains = metrics.NewCounter("entry_stale_orders_total")

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

	mu             sync.Mutex
	applied        map[wire.InstanceName]wire.DocumentApplied
	appliedChanged chan struct{}
}

// NewControl returns a control that reports load until ctx ends.
func NewControl(ctx context.Context, self wire.Hello, hub *channel.Hub, directory *endpoint.Directory, queues *queue.Set, current *document.Current, greeter Greeter, clock clockwork.Clock, logger *log.Logger) *Control {
	c := &Control{
		self:           self,
		hub:            hub,
		directory:      directory,
		queues:         queues,
		current:        current,
		greeter:        greeter,
		logger:         logger,
		applied:        map[wire.InstanceName]wire.DocumentApplied{},
		appliedChanged: make(chan struct{}),
	}
	go func() {
		ticker := clock.NewTicker(reportInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.Chan():
				c.sendReport()
			case <-ctx.Done():
				return
			}
		}
	}()
	return c
}

// Route adds the handlers of this package's topics.
func (c *Control) Route(router *message.Router) {
	channel.Handle(router, c.hub, TopicStates, c.handleStates)
	channel.Handle(router, c.hub, TopicNotice, c.handleNotice)
	channel.Handle(router, c.hub, TopicDrainBegin, c.handleDrainBegin)
	channel.Handle(router, c.hub, TopicDrainEnd, c.handleDrainEnd)
	channel.Handle(router, c.hub, TopicApplied, c.handleApplied)
	channel.Handle(router, c.hub, channel.TopicLinkUp, c.handleLinkUp)
}

func (c *Control) handleStates(_ context.Context, from wire.InstanceName, states wire.EndpointStates) error {
	if states.Domain != c.self.Domain {
		return nil
	}
	if c.directory.Apply(states) {
		c.logger.Info().Str("From", string(from)).Int("Epoch", int(states.Epoch)).Int("Sequence", states.Sequence).Int("Endpoints", len(states.Endpoints)).Msg("endpoints changed")
	}
	return nil
}

// handleNotice stops new work to a leaving endpoint and tells the peers of it, once.
func (c *Control) handleNotice(_ context.Context, _ wire.InstanceName, n wire.EndpointNotice) error {
	if n.Domain != c.self.Domain || !c.directory.Leave(n.Endpoint) {
		return nil
	}
	c.logger.Info().Str("Endpoint", string(n.Endpoint)).Str("Reason", n.Reason).Msg("endpoint leaves")
	return channel.Send(c.hub, "", TopicNotice, n)
}

func (c *Control) handleDrainBegin(_ context.Context, from wire.InstanceName, b wire.DrainBegin) error {
	left, taken := c.directory.BeginDrain(b.Order, b.Endpoint, b.Epoch)
	if !taken {
		staleDrains.Inc()
		c.logger.Warn().Str("From", string(from)).Int("Epoch", int(b.Epoch)).Msg("drain from a holder whose epoch is over")
		return nil
	}
	answer := wire.DrainAnswer{Order: b.Order, Endpoint: b.Endpoint, Instance: c.self.Instance, Incarnation: c.self.Incarnation, InFlight: left}
	return channel.Send(c.hub, from, TopicDrain, answer)
}

func (c *Control) handleDrainEnd(_ context.Context, _ wire.InstanceName, e wire.DrainEnd) error {
	c.directory.EndDrain(e.Order, e.Epoch)
	return nil
}

// handleLinkUp tells a new peer what is in force here. A peer entry of the same failure domain gets the endpoints too, for it may
// have started while nobody holds the lease.
func (c *Control) handleLinkUp(_ context.Context, from wire.InstanceName, peer wire.Hello) error {
	c.greeter.Greet(from)
	if peer.Program != wire.ProgramEntry || peer.Domain != c.self.Domain {
		return nil
	}
	if states := c.directory.States(); states.Epoch > 0 {
		return channel.Send(c.hub, from, TopicStates, states)
	}
	return nil
}

func (c *Control) handleApplied(_ context.Context, _ wire.InstanceName, a wire.DocumentApplied) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.applied[a.Instance].Version < a.Version {
		c.applied[a.Instance] = a
		close(c.appliedChanged)
		c.appliedChanged = make(chan struct{})
	}
	return nil
}

// AppliedVersions returns the version that each instance has confirmed, and a channel that is closed at the next change.
func (c *Control) AppliedVersions() (map[wire.InstanceName]wire.DocumentVersion, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	versions := map[wire.InstanceName]wire.DocumentVersion{c.self.Instance: c.current.Version()}
	for name, a := range c.applied {
		versions[name] = a.Version
	}
	return versions, c.appliedChanged
}

// sendReport tells the linked holders of leases this entry's load.
func (c *Control) sendReport() {
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
