package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// LeaveTime is how long a released endpoint is listed as leaving.
const LeaveTime = 2 * time.Second

// Pool is the ordering interface over a fixed pool of endpoints.
type Pool struct {
	clock clockwork.Clock

	mu       sync.Mutex
	members  []*member
	answers  map[wire.OrderId]answeredOrder
	received []wire.EndpointOrder
}

type answeredOrder struct {
	order  wire.EndpointOrder
	answer wire.EndpointOrderAnswer
}

// NewPool returns a pool; members with Ordered are running.
func NewPool(clock clockwork.Clock, endpoints []EndpointSetting) *Pool {
	p := &Pool{
		clock:    clock,
		answers:  map[wire.OrderId]answeredOrder{},
		received: []wire.EndpointOrder{},
	}
	for _, e := range endpoints {
		p.members = append(p.members, newMember(e))
	}
	return p
}

// List returns the ordered endpoints of a failure domain, or of all with an empty domain.
func (p *Pool) List(domain wire.DomainName) wire.EndpointList {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settle()
	list := wire.EndpointList{Endpoints: []wire.EndpointRecord{}}
	for _, m := range p.members {
		if m.listed() && (domain == "" || m.setting.Domain == domain) {
			list.Endpoints = append(list.Endpoints, m.record())
		}
	}
	return list
}

// Order sets the wanted number of a domain and kind. An order seen before is answered again and not done again; the same
// id on another wish is refused.
func (p *Pool) Order(order wire.EndpointOrder) (wire.EndpointOrderAnswer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received = append(p.received, order)
	if order.Order == "" {
		return wire.EndpointOrderAnswer{}, invalid("order id is missing")
	}
	if order.Count < 0 {
		return wire.EndpointOrderAnswer{}, invalid("count %d is less than 0", order.Count)
	}
	if known, ok := p.answers[order.Order]; ok {
		return known.repeat(order)
	}
	p.settle()
	answer := p.apply(order)
	p.answers[order.Order] = answeredOrder{order: order, answer: answer}
	return answer, nil
}

// Received returns every order received, also repeats and refused ones.
func (p *Pool) Received() wire.EndpointOrderList {
	p.mu.Lock()
	defer p.mu.Unlock()
	return wire.EndpointOrderList{Orders: slices.Clone(p.received)}
}

// Leave marks a running endpoint as leaving, as the platform does on its own account.
func (p *Pool) Leave(ref wire.EndpointRef) error {
	return p.change(ref, func(m *member) {
		if m.phase == memberRunning {
			m.leave(p.clock.Now())
		}
	})
}

// Vanish takes a listed endpoint off the list at once and out of the pool for good.
func (p *Pool) Vanish(ref wire.EndpointRef) error {
	return p.change(ref, func(m *member) { m.phase = memberVanished })
}

func (p *Pool) change(ref wire.EndpointRef, do func(*member)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settle()
	for _, m := range p.members {
		if m.setting.Endpoint == ref.Endpoint && m.listed() {
			do(m)
			return nil
		}
	}
	return absent("endpoint %q is not listed", ref.Endpoint)
}

// settle frees the members whose leave time is over.
func (p *Pool) settle() {
	now := p.clock.Now()
	for _, m := range p.members {
		m.settle(now)
	}
}

func (p *Pool) apply(order wire.EndpointOrder) wire.EndpointOrderAnswer {
	running := p.pick(order, memberRunning)
	if surplus := len(running) - order.Count; surplus > 0 {
		for _, m := range running[order.Count:] {
			m.leave(p.clock.Now())
		}
		return wire.EndpointOrderAnswer{Order: order.Order, Count: order.Count}
	}
	free := p.pick(order, memberFree)
	slices.SortStableFunc(free, func(a, b *member) int { return a.since.Compare(b.since) })
	start := free[:min(len(free), order.Count-len(running))]
	for _, m := range start {
		m.phase = memberRunning
	}
	answer := wire.EndpointOrderAnswer{Order: order.Order, Count: len(running) + len(start)}
	if answer.Count < order.Count {
		answer.Reason = fmt.Sprintf("only %d of %d are to be had", answer.Count, order.Count)
	}
	return answer
}

func (p *Pool) pick(order wire.EndpointOrder, phase memberPhase) []*member {
	var picked []*member
	for _, m := range p.members {
		if m.phase == phase && m.setting.Domain == order.Domain && m.setting.Kind == order.Kind {
			picked = append(picked, m)
		}
	}
	return picked
}

func (a answeredOrder) repeat(order wire.EndpointOrder) (wire.EndpointOrderAnswer, error) {
	first := a.order
	if order.Domain != first.Domain || order.Kind != first.Kind || order.Count != first.Count {
		return wire.EndpointOrderAnswer{}, conflicting("order %s was for %d of %s in %s",
			first.Order, first.Count, first.Kind, first.Domain)
	}
	return a.answer, nil
}
