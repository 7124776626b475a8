package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// LeaveTime is how long a released endpoint stays listed as leaving.
const LeaveTime = 2 * time.Second

// Pool is the interface that lists and orders endpoints, over a fixed pool of them.
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

// NewPool returns a pool of the given endpoints; those with Ordered set are running.
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

// List returns the running and leaving endpoints of a failure domain, or of all domains if domain is empty.
func (p *Pool) List(domain wire.DomainName) wire.EndpointList {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeAfterLeaving()
	list := wire.EndpointList{Endpoints: []wire.EndpointRecord{}}
	for _, m := range p.members {
		if m.listed() && (domain == "" || m.setting.Domain == domain) {
			list.Endpoints = append(list.Endpoints, m.record())
		}
	}
	return list
}

// Order sets the number of running endpoints of a kind in a domain. A repeated order gets the first answer again and has no
// further effect; an order with a known id but another domain, kind or count is rejected with status 409.
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
	if previous, ok := p.answers[order.Order]; ok {
		return previous.repeat(order)
	}
	p.freeAfterLeaving()
	answer := p.apply(order)
	p.answers[order.Order] = answeredOrder{order: order, answer: answer}
	return answer, nil
}

// Received returns all orders received, including repeated and rejected ones.
func (p *Pool) Received() wire.EndpointOrderList {
	p.mu.Lock()
	defer p.mu.Unlock()
	return wire.EndpointOrderList{Orders: slices.Clone(p.received)}
}

// Leave marks a running endpoint as leaving, as the platform may do without an order.
func (p *Pool) Leave(ref wire.EndpointRef) error {
	return p.changeListed(ref, func(m *member) {
		if m.phase == memberRunning {
			m.leave(p.clock.Now())
		}
	})
}

// Vanish removes a listed endpoint from the list at once and from the pool for good.
func (p *Pool) Vanish(ref wire.EndpointRef) error {
	return p.changeListed(ref, func(m *member) { m.phase = memberVanished })
}

func (p *Pool) changeListed(ref wire.EndpointRef, do func(*member)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeAfterLeaving()
	for _, m := range p.members {
		if m.setting.Endpoint == ref.Endpoint && m.listed() {
			do(m)
			return nil
		}
	}
	return notFound("endpoint %q is not listed", ref.Endpoint)
}

// freeAfterLeaving frees the members that began to leave LeaveTime ago or earlier.
func (p *Pool) freeAfterLeaving() {
	now := p.clock.Now()
	for _, m := range p.members {
		m.freeAfterLeaving(now)
	}
}

func (p *Pool) apply(order wire.EndpointOrder) wire.EndpointOrderAnswer {
	running := p.matching(order, memberRunning)
	if surplus := len(running) - order.Count; surplus > 0 {
		for _, m := range running[order.Count:] {
			m.leave(p.clock.Now())
		}
		return wire.EndpointOrderAnswer{Order: order.Order, Count: order.Count}
	}
	free := p.matching(order, memberFree)
	slices.SortStableFunc(free, func(a, b *member) int { return a.leavingSince.Compare(b.leavingSince) })
	started := free[:min(len(free), order.Count-len(running))]
	for _, m := range started {
		m.phase = memberRunning
	}
	answer := wire.EndpointOrderAnswer{Order: order.Order, Count: len(running) + len(started)}
	if answer.Count < order.Count {
		answer.Reason = fmt.Sprintf("only %d of %d are to be had", answer.Count, order.Count)
	}
	return answer
}

func (p *Pool) matching(order wire.EndpointOrder, phase memberPhase) []*member {
	var found []*member
	for _, m := range p.members {
		if m.phase == phase && m.setting.Domain == order.Domain && m.setting.Kind == order.Kind {
			found = append(found, m)
		}
	}
	return found
}

func (a answeredOrder) repeat(order wire.EndpointOrder) (wire.EndpointOrderAnswer, error) {
	first := a.order
	if order.Domain != first.Domain || order.Kind != first.Kind || order.Count != first.Count {
		return wire.EndpointOrderAnswer{}, conflict("order %s was for %d of %s in %s",
			first.Order, first.Count, first.Kind, first.Domain)
	}
	return a.answer, nil
}
