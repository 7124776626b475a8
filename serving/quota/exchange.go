package quota

import (
	"math"
	"time"

	"cowslipshunt.example/wire"
)

// TickInterval is how often Tick must be called while quotas are in force.
const TickInterval = 50 * time.Millisecond

// PacketItems is the largest number of reports or totals in a packet. Each has about 60 bytes, and a datagram at most 1,400.
const PacketItems = 14

// packet returns the packet that is sent to an address next.
func (m *Manager) packet(address string) *Packet {
	p := m.out[address]
	if p == nil {
		p = &Packet{From: m.self.Address, Incarnation: m.incarnation, Domain: m.self.Domain}
		m.out[address] = p
	}
	return p
}

// flush unlocks the manager and sends the packets that are due.
func (m *Manager) flush() {
	out := m.out
	if len(out) == 0 {
		m.mu.Unlock()
		return
	}
	m.out = map[string]*Packet{}
	m.mu.Unlock()
	for address, p := range out {
		for _, part := range p.split() {
			m.network.Send(address, part)
		}
	}
}

// split returns packets that are short enough for a datagram.
func (p *Packet) split() []*Packet {
	if len(p.Asks)+len(p.Answers)+len(p.Reports)+len(p.Totals)+len(p.Cancels) <= PacketItems {
		return []*Packet{p}
	}
	var parts []*Packet
	for len(p.Asks)+len(p.Answers)+len(p.Reports)+len(p.Totals)+len(p.Cancels) > 0 {
		part := &Packet{From: p.From, Incarnation: p.Incarnation, Domain: p.Domain}
		room := PacketItems
		part.Asks, p.Asks = cut(p.Asks, &room)
		part.Answers, p.Answers = cut(p.Answers, &room)
		part.Reports, p.Reports = cut(p.Reports, &room)
		part.Totals, p.Totals = cut(p.Totals, &room)
		part.Cancels, p.Cancels = cut(p.Cancels, &room)
		parts = append(parts, part)
	}
	return parts
}

// cut takes items from a list as long as there is room.
func cut[T any](list []T, room *int) (head, rest []T) {
	n := min(len(list), *room)
	*room -= n
	return list[:n], list[n:]
}

// Receive takes a packet from another instance.
func (m *Manager) Receive(p *Packet) {
	m.mu.Lock()
	defer m.flush()
	if p.Incarnation == m.incarnation || len(m.quotas) == 0 {
		return
	}
	now := m.now()
	m.peers.refresh(m, now)
	for _, a := range p.Asks {
		c := m.coordinators[a.Workspace]
		if c == nil || !c.ready || !(a.Cost >= 0 && a.Cost <= maxCost) {
			continue
		}
		c.advance(now, m.peers.alive)
		out := m.packet(p.From)
		out.Answers = append(out.Answers, c.ask(p.Incarnation, a, now))
		m.urgentTotals(c, now)
	}
	for _, a := range p.Cancels {
		if c := m.coordinators[a.Workspace]; c != nil && c.ready {
			c.advance(now, m.peers.alive)
			c.cancel(p.Incarnation, a, now)
		}
	}
	for _, x := range p.Answers {
		if valid(x.Level) && valid(x.Share) && valid(x.Allowance) {
			m.takeAnswer(p.From, x, now)
		}
	}
	for _, r := range p.Reports {
		if c := m.coordinators[r.Workspace]; c != nil && valid(r.Spent) && valid(r.Known) {
			c.advance(now, m.peers.alive)
			c.report(p.Incarnation, r, now)
		}
	}
	for _, t := range p.Totals {
		if c := m.coordinator(t.Workspace, now); c != nil && valid(t.Spent) && valid(t.Level) && valid(t.Recent) {
			c.advance(now, m.peers.alive)
			c.hear(p, m.self.Domain, t, now)
			if t.Need && c.ready {
				m.total(c, p.From, now)
			}
		}
	}
}

// maxAmount bounds the numbers of other instances: a workspace with a million tokens a second spends that much in 30 years.
const maxAmount = 1e15

// valid reports whether a number of another instance can be counted with. NaN is not valid.
func valid(x float64) bool {
	return math.Abs(x) <= maxAmount
}

// takeAnswer passes an answer on to the request that waits for it.
func (m *Manager) takeAnswer(from string, x Answer, now time.Time) {
	asked := m.asked[x.Number]
	if asked == nil || asked.account.workspace != x.Workspace {
		return
	}
	delete(m.asked, x.Number)
	if from == asked.account.coordinator {
		asked.account.takeAnswer(x, asked, now)
	}
	switch {
	case asked.abandoned:
	case now.Sub(asked.at) > grantLife && asked.answer != nil:
		asked.answer <- Answer{}
	case asked.answer != nil:
		asked.answer <- x
	}
}

// Tick sends what is due to the other instances. It must be called every TickInterval while quotas are in force.
func (m *Manager) Tick() {
	m.mu.Lock()
	defer m.flush()
	if len(m.quotas) == 0 {
		return
	}
	now := m.now()
	m.peers.refresh(m, now)
	wait := adoptTime
	if now.Sub(m.started) < joinTime {
		wait = joinTime
	}
	for name, q := range m.quotas {
		leads := m.peers.leader(name, m.self.Domain) == m.self.Address
		if c := m.coordinator(name, now); c != nil {
			c.advance(now, m.peers.alive)
			if leads != c.leads {
				c.lead(leads, m.peers.others(m.self.Domain, now), now)
			}
			c.settle(now, wait)
			c.forgetClients(now)
			c.forgetCounts(now)
			c.note(now)
			m.tickTotals(c, now)
		}
		m.tickAccount(m.account(name, q, now), now)
	}
	for n, x := range m.asked {
		if now.Sub(x.at) > 2*grantLife {
			delete(m.asked, n)
		}
	}
}

// coordinator returns the state of a workspace whose coordinator this instance is or was, or nil.
func (m *Manager) coordinator(name wire.WorkspaceName, now time.Time) *coordinator {
	c := m.coordinators[name]
	if q, limited := m.quotas[name]; c == nil && limited && m.peers.leader(name, m.self.Domain) == m.self.Address {
		c = newCoordinator(name, q, m.window, now)
		m.coordinators[name] = c
	}
	return c
}

// tickAccount follows a change of the coordinator, reports what was spent, and asks a silent coordinator whether it answers again.
func (m *Manager) tickAccount(a *account, now time.Time) {
	a.follow(m.peers.leader(a.workspace, m.self.Domain))
	if c := m.coordinators[a.workspace]; a.coordinator == m.self.Address && c != nil {
		if c.ready {
			a.local = false
		}
		if r, due := a.nextReport(); due {
			c.report(m.incarnation, r, now)
			a.acked = a.sent
		}
		return
	}
	if r, due := a.nextReport(); due {
		p := m.packet(a.coordinator)
		p.Reports = append(p.Reports, r)
	}
	if cancels := a.nextCancels(); len(cancels) > 0 {
		p := m.packet(a.coordinator)
		p.Cancels = append(p.Cancels, cancels...)
	}
	if a.local && now.Sub(a.probedAt) >= probeInterval {
		a.probedAt = now
		m.ask(a, 0, now, false)
	}
}

// tickTotals tells the other coordinators of a workspace what was spent, if that has changed or a keep-alive is due.
func (m *Manager) tickTotals(c *coordinator, now time.Time) {
	changed := c.total != c.sentTotal
	interval := idleKeepAlive
	switch {
	case c.isActive(now) && c.level < c.quota.Burst/2:
		// A share that is reserved by mistake matters near the limit.
		interval = 0
	case c.isActive(now):
		interval = keepAlive
	}
	if !c.leads && !c.ready || !changed && !c.need && now.Sub(c.sentAt) < interval {
		return
	}
	m.sendTotals(c, now)
	if c.leads && c.need {
		// The predecessor is the coordinator that follows this one in the rendezvous order; it is among the instances of the domain.
		for _, p := range m.peers.list {
			if p.Domain == m.self.Domain && p.Address != m.self.Address {
				m.total(c, p.Address, now)
			}
		}
	}
	c.need = false
}

// Totals are sent between ticks once more than urgentPart of the level was granted since the last ones, but only every urgentInterval. Without
// that, a workspace at five times its rate spends its burst once in each domain before the coordinators hear of each other.
const (
	urgentPart     = 0.1
	urgentInterval = 20 * time.Millisecond
)

// urgentTotals tells the other coordinators what was spent if much was.
func (m *Manager) urgentTotals(c *coordinator, now time.Time) {
	if c.total-c.sentTotal > urgentPart*math.Max(c.level, 0) && now.Sub(c.sentAt) >= urgentInterval {
		m.sendTotals(c, now)
	}
}

// sendTotals tells the other coordinators what was spent.
func (m *Manager) sendTotals(c *coordinator, now time.Time) {
	for d := range m.peers.domains {
		if address := m.peers.leader(c.workspace, d); address != m.self.Address {
			m.total(c, address, now)
		}
	}
	c.sentTotal, c.sentAt = c.total, now
}

// total tells another coordinator what was spent.
func (m *Manager) total(c *coordinator, address string, now time.Time) {
	c.sequence++
	p := m.packet(address)
	p.Totals = append(p.Totals, Total{
		Workspace: c.workspace, Sequence: c.sequence, Spent: c.total, Recent: c.recentTotal(),
		Level: c.level, Ready: c.ready, Need: c.need,
	})
}
