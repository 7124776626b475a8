package channel

import (
	"context"

	"cowslipshunt.example/wire"
	"github.com/ThreeDotsLabs/watermill/message"
)

// subscription is the queue of one subscriber to one or several topics.
type subscription struct {
	ctx   context.Context
	queue chan wire.Envelope
	out   chan *message.Message
}

func (h *Hub) newSubscription(ctx context.Context) *subscription {
	ctx, cancel := context.WithCancel(ctx)
	s := &subscription{
		ctx:   ctx,
		queue: make(chan wire.Envelope, subscriptionQueue),
		out:   make(chan *message.Message),
	}
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		defer cancel()
		defer close(s.out)
		s.run(h.ctx)
	}()
	return s
}

// run dispatches queued messages until the hub or the subscription ends.
func (s *subscription) run(hub context.Context) {
	for {
		select {
		case e := <-s.queue:
			if !s.dispatch(hub, e) {
				return
			}
		case <-hub.Done():
			return
		case <-s.ctx.Done():
			return
		}
	}
}

// dispatch passes one message to the subscriber and waits until it is acknowledged. A negatively acknowledged message is not
// delivered again, as senders repeat their state anyway. It returns false if the hub or the subscription ended.
func (s *subscription) dispatch(hub context.Context, e wire.Envelope) bool {
	m := message.NewMessage(e.Id, e.Payload)
	m.Metadata.Set(metadataFrom, string(e.From))
	m.Metadata.Set(metadataTopic, e.Topic)
	m.SetContext(s.ctx)
	select {
	case s.out <- m:
	case <-hub.Done():
		return false
	case <-s.ctx.Done():
		return false
	}
	select {
	case <-m.Acked():
	case <-m.Nacked():
	case <-hub.Done():
		return false
	case <-s.ctx.Done():
		return false
	}
	return true
}

// enqueue adds a message to the queue and blocks while the queue is full.
func (s *subscription) enqueue(hub context.Context, e wire.Envelope) {
	select {
	case s.queue <- e:
	case <-hub.Done():
	case <-s.ctx.Done():
	}
}
