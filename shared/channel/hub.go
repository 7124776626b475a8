// Package channel carries control messages between instances: watermill messages, encoded as CBOR, over WebSocket links.
package channel

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"cowslipshunt.example/wire"
	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/phuslu/log"
)

// Topics on which a hub publishes to its own subscribers: LinkUp for each new link, LinkDown when the last link to an instance has
// ended. The payload is the peer's wire.Hello.
const (
	TopicLinkUp   = "LinkUp"
	TopicLinkDown = "LinkDown"
)

// Metadata keys of watermill messages.
const (
	metadataTo   = "To"
	metadataFrom = "From"
	// metadataTopic is the topic of a received message.
	metadataTopic = "Topic"
)

// subscriptionQueue is the maximum number of messages that wait for one subscriber. When the queue is full, links stop reading
// until there is room.
const subscriptionQueue = 1024

// ErrNoLink is the error for a message to an instance that the hub has no link to.
var ErrNoLink = errors.New("no link to the instance")

// Hub manages all control links of one process. It is a watermill publisher and subscriber.
type Hub struct {
	self   wire.Hello
	secret Secret
	logger *log.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	links  map[wire.InstanceName][]*link
	topics map[string][]*subscription
}

var (
	_ message.Publisher  = (*Hub)(nil)
	_ message.Subscriber = (*Hub)(nil)
)

// NewHub returns a hub that sends self as its hello on each link.
func NewHub(self wire.Hello, logger *log.Logger, options ...Option) *Hub {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Hub{
		self:   self,
		logger: logger,
		ctx:    ctx,
		cancel: cancel,
		links:  map[wire.InstanceName][]*link{},
		topics: map[string][]*subscription{},
	}
	for _, o := range options {
		o(h)
	}
	return h
}

// Publish queues each message for the instance that its metadata names, or for every linked instance if it names none. It returns
// ErrNoLink if a message names an instance without a link.
func (h *Hub) Publish(topic string, messages ...*message.Message) error {
	for _, m := range messages {
		if err := h.publish(topic, m); err != nil {
			return err
		}
	}
	return nil
}

func (h *Hub) publish(topic string, m *message.Message) error {
	to := wire.InstanceName(m.Metadata.Get(metadataTo))
	frame, err := Encode(wire.Envelope{Topic: topic, Id: m.UUID, From: h.self.Instance, To: to, Payload: m.Payload})
	if err != nil {
		return fmt.Errorf("encode %s: %w", topic, err)
	}
	targets := h.targets(to)
	if to != "" && len(targets) == 0 {
		return ErrNoLink
	}
	for _, l := range targets {
		l.send(frame)
	}
	return nil
}

// targets returns the newest link to each addressed instance; an empty to addresses all.
func (h *Hub) targets(to wire.InstanceName) []*link {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []*link
	for name, links := range h.links {
		if len(links) > 0 && (to == "" || to == name) {
			found = append(found, links[len(links)-1])
		}
	}
	return found
}

// Links returns the hellos of the peers that are currently linked.
func (h *Hub) Links() []wire.Hello {
	h.mu.Lock()
	defer h.mu.Unlock()
	var peers []wire.Hello
	for _, links := range h.links {
		if len(links) > 0 {
			peers = append(peers, links[len(links)-1].peer)
		}
	}
	return peers
}

// addLink registers a link and announces it.
func (h *Hub) addLink(l *link) {
	h.mu.Lock()
	h.links[l.peer.Instance] = append(h.links[l.peer.Instance], l)
	h.mu.Unlock()
	h.announce(TopicLinkUp, l.peer)
}

// removeLink removes a link and announces LinkDown if it was the last one to its peer.
func (h *Hub) removeLink(l *link) {
	h.mu.Lock()
	remaining := h.links[l.peer.Instance][:0:0]
	for _, other := range h.links[l.peer.Instance] {
		if other != l {
			remaining = append(remaining, other)
		}
	}
	h.links[l.peer.Instance] = remaining
	last := len(remaining) == 0
	if last {
		delete(h.links, l.peer.Instance)
	}
	h.mu.Unlock()
	if last {
		h.announce(TopicLinkDown, l.peer)
	}
}

// announce publishes a link event to the hub's own subscribers.
func (h *Hub) announce(topic string, peer wire.Hello) {
	payload, err := Encode(peer)
	if err != nil {
		h.logger.Error().Err(err).Msg("link event not published: cannot encode the peer's hello")
		return
	}
	h.deliver(wire.Envelope{Topic: topic, Id: watermill.NewUUID(), From: peer.Instance, Payload: payload})
}

// Subscribe returns a channel with the messages of a topic in order. The next message follows once the previous one has been
// acknowledged.
func (h *Hub) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	return h.subscribe(ctx, topic), nil
}

// subscribe returns a channel with the messages of all the given topics, in the order in which each link received them.
func (h *Hub) subscribe(ctx context.Context, topics ...string) <-chan *message.Message {
	s := h.newSubscription(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, topic := range topics {
		h.topics[topic] = append(h.topics[topic], s)
	}
	return s.out
}

// deliver queues a message for all subscribers to its topic.
func (h *Hub) deliver(e wire.Envelope) {
	h.mu.Lock()
	subscriptions := h.topics[e.Topic]
	h.mu.Unlock()
	for _, s := range subscriptions {
		s.enqueue(h.ctx, e)
	}
}

// Close ends all links and subscriptions and waits for their goroutines.
func (h *Hub) Close() error {
	h.cancel()
	h.wg.Wait()
	return nil
}
