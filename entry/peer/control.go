// Package peer exchanges messages with other entries and with lease holders. It applies endpoint states and drains, reports the
// entry's load, and forwards requests to entries of other failure domains.
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
	TopicStates      = "EndpointStates"
	TopicNotice      = "EndpointNotice"
	TopicDrainBegin  = "DrainBegin"
	TopicDrainEnd    = "DrainEnd"
	TopicDrainAnswer = "DrainAnswer"
	TopicReport      = "EntryReport"
	TopicApplied     = "DocumentApplied"
)

// reportInterval is the interval between reports of an entry's load to the lease holders.
const reportInterval = time.Second

var staleDrains = metrics.NewCounter("entry_stale_orders_total")

// DocumentAnnouncer announces the document version in force here to peers.
type DocumentAnnouncer interface {
	// AnnounceTo announces the version to one newly linked peer.
	AnnounceTo(peer wire.InstanceName)
}

// Control handles the control messages between entries and from lease holders.
type Control struct {
	self      wire.Hello
	hub       *channel.Hub
	directory *endpoint.Directory
	queues    *queue.Set
	current   *document.Current
	announcer DocumentAnnouncer
	logger    *log.Logger

	mu sync.Mutex
	// applied holds the newest document version that each peer has reported to be in force there.
	applied map[wire.InstanceName]wire.DocumentApplied
	// appliedChanged is closed and replaced at each change of applied.
	appliedChanged chan struct{}
}

// NewControl returns a Control and starts to report the entry's load every second until ctx ends.
func NewControl(ctx context.Context, self wire.Hello, hub *channel.Hub, directory *endpoint.Directory, queues *queue.Set, current *document.Current, announcer DocumentAnnouncer, clock clockwork.Clock, logger *log.Logger) *Control {
	c := &Control{
		self:           self,
		hub:            hub,
		directory:      directory,
		queues:         queues,
		current:        current,
		announcer:      announcer,
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

// handlersOfEndpoints is the name of the group of handlers that change which endpoints are usable.
const handlersOfEndpoints = "Endpoints"

// AddHandlers adds handlers for the topics of this package to router. Endpoint states and drains are applied in the order in which a lease
// holder sent them: it takes an endpoint out of service only after it has announced that another one is back.
func (c *Control) AddHandlers(router *message.Router) {
	channel.HandleInOrder(router, c.hub, handlersOfEndpoints,
		channel.On(TopicStates, c.handleStates),
		channel.On(TopicNotice, c.handleNotice),
		channel.On(TopicDrainBegin, c.handleDrainBegin),
		channel.On(TopicDrainEnd, c.handleDrainEnd),
	)
	channel.Handle(router, c.hub, TopicApplied, c.handleApplied)
	channel.Handle(router, c.hub, channel.TopicLinkUp, c.handleLinkUp)
}

// handleStates applies endpoint states of this failure domain that are newer than those applied before.
func (c *Control) handleStates(_ context.Context, from wire.InstanceName, states wire.EndpointStates) error {
	if states.Domain != c.self.Domain {
		return nil
	}
	if c.directory.Apply(states) {
		c.logger.Info().Str("From", string(from)).Int("Epoch", int(states.Epoch)).Int("Sequence", states.Sequence).Int("Endpoints", len(states.Endpoints)).Msg("applied endpoint states")
	}
	return nil
}

// handleNotice stops sending new requests to an endpoint that is about to leave. It passes the first notice about an endpoint on
// to all linked peers.
func (c *Control) handleNotice(_ context.Context, _ wire.InstanceName, n wire.EndpointNotice) error {
	if n.Domain != c.self.Domain || !c.directory.MarkLeaving(n.Endpoint) {
		return nil
	}
	c.logger.Info().Str("Endpoint", string(n.Endpoint)).Str("Reason", n.Reason).Msg("endpoint is about to leave; sending it no new requests")
	return channel.Send(c.hub, "", TopicNotice, n)
}

// handleDrainBegin starts to drain an endpoint and answers with the number of this entry's requests in flight there. It rejects a
// drain of an earlier epoch than that of the endpoint states.
func (c *Control) handleDrainBegin(_ context.Context, from wire.InstanceName, b wire.DrainBegin) error {
	inFlight, accepted := c.directory.BeginDrain(b.Order, b.Endpoint, b.Epoch)
	if !accepted {
		staleDrains.Inc()
		c.logger.Warn().Str("From", string(from)).Int("Epoch", int(b.Epoch)).Msg("rejected a drain order of an earlier epoch")
		return nil
	}
	answer := wire.DrainAnswer{Order: b.Order, Endpoint: b.Endpoint, Instance: c.self.Instance, Incarnation: c.self.Incarnation, InFlight: inFlight}
	return channel.Send(c.hub, from, TopicDrainAnswer, answer)
}

func (c *Control) handleDrainEnd(_ context.Context, _ wire.InstanceName, e wire.DrainEnd) error {
	c.directory.EndDrain(e.Order, e.Epoch)
	return nil
}

// handleLinkUp sends a newly linked peer the document version in force here. An entry of the same failure domain also gets the
// endpoint states, as it may have started while nobody held the lease.
func (c *Control) handleLinkUp(_ context.Context, from wire.InstanceName, peer wire.Hello) error {
	c.announcer.AnnounceTo(from)
	if peer.Program != wire.ProgramEntry || peer.Domain != c.self.Domain {
		return nil
	}
	if states := c.directory.States(); states.Epoch > 0 {
		return channel.Send(c.hub, from, TopicStates, states)
	}
	return nil
}

// handleApplied records the document version that a peer reports to be in force there, unless it recorded that or a newer one before.
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

// AppliedVersions returns the document version in force at each instance, as far as reported here, and a channel that is closed at
// the next change of a peer's version.
func (c *Control) AppliedVersions() (map[wire.InstanceName]wire.DocumentVersion, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	versions := map[wire.InstanceName]wire.DocumentVersion{c.self.Instance: c.current.Version()}
	for name, a := range c.applied {
		versions[name] = a.Version
	}
	return versions, c.appliedChanged
}

// sendReport sends this entry's load to all linked lease holders.
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
