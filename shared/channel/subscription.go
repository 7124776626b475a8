package channel

import (
	"context"

	"cowslipshunt.example/wire"
	"github.com/ThreeDotsLabs/watermill/message"
)

// subscription is one subscriber's queue of a topic.
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
	h.work.Add(1)
	go func() {
		defer h.work.Done()
		defer cancel()
		defer close(s.out)
		s.run(h.ctx)
	}()
	return s
}

func (s *subscription) run(hub context.Context) {
	for {
		select {
		case e := <-s.queue:
			if !s.hand(hub, e) {
				return
			}
		case <-hub.Done():
			return
		case <-s.ctx.Done():
			return
		}
	}
}

// hand gives one message to the subscriber and waits until it is acknowledged. A refused message is not repeated: its
// sender repeats state in any case.
func (s *subscription) hand(hub context.Context, e wire.Envelope) bool {
	m := message.NewMessage(e.Id, e.Payload)
	m.Metadata.Set(metadataFrom, string(e.From))
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

func (s *subscription) put(hub context.Context, e wire.Envelope) {
	select {
	case s.queue <- e:
	case <-hub.Done():
	case <-s.ctx.Done():
	}
}
