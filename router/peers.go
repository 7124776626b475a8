package main

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/serving/peerload"
	"cowslipshunt.example/serving/replication"
	"cowslipshunt.example/shared/lease"
	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
)

const (
	// reportInterval is the shortest interval between load reports while loads change. A prefill takes several times as long.
	reportInterval = 50 * time.Millisecond
	// maxReportInterval is the interval between load reports while nothing changes.
	maxReportInterval = time.Second
	// maxReportsPerSecond bounds the reports that one instance sends to all peers together. The more peers there are, the fewer
	// reports each gets.
	maxReportsPerSecond = 400
	// maxDatagramBytes is the largest datagram that is sent to many instances: one that is not fragmented.
	maxDatagramBytes = 1400
	// maxHandoffBytes is the largest datagram of a hand-off, which has a count for each workspace, and the largest that is received.
	maxHandoffBytes = 16 << 10
)

// handoffCopies is the number of peers that get a copy of counts that could not be written, so that a copy is likely to remain
// when a failure domain is lost or the next instances stop.
const handoffCopies = 3

// message is the content of one datagram: a load report with the applied versions, a hand-off of usage counts, or an update of a table.
type message struct {
	Report  *peerload.Report    `cbor:"1,keyasint,omitempty"`
	Handoff *metering.Handoff   `cbor:"2,keyasint,omitempty"`
	Applied *appliedVersions    `cbor:"3,keyasint,omitempty"`
	Update  *replication.Update `cbor:"4,keyasint,omitempty"`
}

// peers exchanges load reports and hand-offs of usage counts with the other instances, over UDP.
type peers struct {
	self      lease.Identity
	conn      *net.UDPConn
	reporter  *peerload.Reporter
	peerLoads *peerload.Table
	handoffs  *metering.Handoffs
	// agreedNow returns the time that all instances agree on. The age of a hand-off is computed from it.
	agreedNow func() time.Time
	logger    *log.Logger
	// stop ends receiveLoop and reportLoop.
	stop context.CancelFunc

	// handoffTurns counts the calls of HandOff.
	handoffTurns atomic.Int64

	mu sync.Mutex
	// members are the peers that the store lists.
	members []membership.Peer
	// followers are nil until setFollowers is called.
	followers *followers
}

// newPeers listens at a UDP address and exchanges reports with the peers until close is called.
func newPeers(self lease.Identity, address string, reporter *peerload.Reporter, peerLoads *peerload.Table, handoffs *metering.Handoffs, agreedNow func() time.Time, logger *log.Logger) (*peers, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &peers{self: self, conn: conn, reporter: reporter, peerLoads: peerLoads, handoffs: handoffs, agreedNow: agreedNow, logger: logger, stop: stop}
	go p.receiveLoop(ctx)
	go p.reportLoop(ctx)
	return p, nil
}

// close stops the exchange and closes the socket.
func (p *peers) close() {
	p.stop()
	_ = p.conn.Close()
}

func (p *peers) setMembers(members []membership.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = members
}

// setFollowers sets the followers whose versions are compared with those of the peers.
func (p *peers) setFollowers(f *followers) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.followers = f
}

// tableFollowers returns the followers, or nil.
func (p *peers) tableFollowers() *followers {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.followers
}

// addresses returns the addresses of the peers that the store lists and of those that send reports.
func (p *peers) addresses() []string {
	all := p.all()
	list := make([]string, 0, len(all))
	for _, x := range all {
		list = append(list, x.Address)
	}
	return list
}

// all returns the peers that the store lists and those that send reports.
func (p *peers) all() []membership.Peer {
	all := p.peerLoads.Peers()
	known := make(map[string]bool, len(all))
	for _, x := range all {
		known[x.Address] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if !known[m.Address] {
			all = append(all, m)
		}
	}
	return all
}

// receiveLoop receives datagrams until ctx ends. Datagrams that do not decode are counted and ignored.
func (p *peers) receiveLoop(ctx context.Context) {
	buffer := make([]byte, maxHandoffBytes)
	for ctx.Err() == nil {
		n, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				p.logger.Warn().Err(err).Msg("PeerReportUnread")
			}
			continue
		}
		_ = protect(p.logger, "datagram", func() { p.receive(buffer[:n]) })
	}
}

// receive applies one datagram.
func (p *peers) receive(data []byte) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		metrics.GetOrCreateCounter("router_peer_reports_rejected_total").Inc()
		return
	}
	if m.Report != nil {
		p.peerLoads.Apply(*m.Report, time.Now())
		p.handoffs.SetIncarnation(m.Report.From, m.Report.Incarnation)
	}
	if m.Handoff != nil {
		p.handoffs.Keep(*m.Handoff, p.agreedNow())
	}
	f := p.tableFollowers()
	if f != nil && m.Applied != nil {
		f.peerApplied(*m.Applied)
	}
	if f != nil && m.Update != nil {
		f.receive(m.Update)
	}
}

// reportLoop reports this instance's load to all peers until ctx ends.
func (p *peers) reportLoop(ctx context.Context) {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	lastSent := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		addresses := p.addresses()
		timer.Reset(max(reportInterval, time.Duration(len(addresses))*time.Second/maxReportsPerSecond))
		_ = protect(p.logger, "report", func() { p.reportOnce(addresses, &lastSent) })
	}
}

// reportOnce reports this instance's load to the addresses, unless nothing has changed since lastSent, less than maxReportInterval ago.
func (p *peers) reportOnce(addresses []string, lastSent *time.Time) {
	now := time.Now()
	report, changed := p.reporter.Next(now)
	if !changed && now.Sub(*lastSent) < maxReportInterval {
		return
	}
	*lastSent = now
	p.peerLoads.Expire(now)
	p.broadcast(report, addresses)
}

// broadcast sends a report to all peers. A report that does not fit into a datagram is shortened until it does. One that does not
// fit although it has neither sent parts nor loads left is logged and not sent.
func (p *peers) broadcast(report peerload.Report, addresses []string) {
	m := message{Report: &report}
	if f := p.tableFollowers(); f != nil {
		applied := f.applied()
		m.Applied = &applied
	}
	for {
		data, err := cbor.Marshal(m)
		if err != nil {
			p.logger.Error().Err(err).Msg("PeerReportNotSent")
			return
		}
		if len(data) <= maxDatagramBytes {
			p.transmit(data, addresses)
			return
		}
		if len(report.Sent)+len(report.Loads) == 0 {
			p.logger.Error().Int("Bytes", len(data)).Msg("PeerReportNotSent")
			return
		}
		metrics.GetOrCreateCounter("router_peer_reports_cut_total").Inc()
		report = report.Shortened()
	}
}

// HandOff sends copies of usage counts to handoffCopies peers in different failure domains. A copy that is marked as failed goes to one of
// them as such, in turn, so that the peers do not all write it.
func (p *peers) HandOff(handoffs []metering.Handoff) {
	chosen := membership.ChooseSpread(p.all(), string(p.self.Incarnation), handoffCopies)
	turn := int(p.handoffTurns.Add(1))
	for i, peer := range chosen {
		for _, h := range handoffs {
			h.Failed = h.Failed && i == turn%len(chosen)
			data, err := cbor.Marshal(message{Handoff: &h})
			if err != nil || len(data) > maxHandoffBytes {
				p.logger.Error().Int64("Window", int64(h.Window)).Int("Bytes", len(data)).Err(err).Msg("UsageNotHandedOff")
				continue
			}
			p.transmit(data, []string{peer.Address})
		}
	}
}

// replicas returns the other instances for followers of tables whose copies have to follow the store within a bound.
func (p *peers) replicas(self membership.Peer, bound time.Duration) replicas {
	maxSilence := replication.MaxSilence(bound)
	return replicas{
		role:       func() replication.Role { return replication.RoleOf(self, p.peerLoads.Peers(), maxSilence) },
		send:       func(updates []replication.Update) { p.sendUpdates(self, updates) },
		maxSilence: maxSilence,
	}
}

// sendUpdates sends updates to the other instances of the failure domain of self. The receivers notice one that is lost or too long.
func (p *peers) sendUpdates(self membership.Peer, updates []replication.Update) {
	var addresses []string
	for _, x := range p.all() {
		if x.Domain == self.Domain && x.Address != self.Address {
			addresses = append(addresses, x.Address)
		}
	}
	for _, u := range updates {
		data, err := cbor.Marshal(message{Update: &u})
		if err != nil || len(data) > maxDatagramBytes {
			p.logger.Error().Str("Table", u.Table).Int("Bytes", len(data)).Err(err).Msg("UpdateNotSent")
			continue
		}
		p.transmit(data, addresses)
	}
}

// transmit sends one datagram to each address. Errors are logged or counted; the datagram is not sent again.
func (p *peers) transmit(data []byte, addresses []string) {
	for _, address := range addresses {
		addr, err := netip.ParseAddrPort(address)
		if err != nil {
			p.logger.Warn().Str("Address", address).Err(err).Msg("PeerAddressRejected")
			continue
		}
		if _, err := p.conn.WriteToUDPAddrPort(data, addr); err != nil {
			metrics.GetOrCreateCounter("router_peer_reports_unsent_total").Inc()
		}
	}
}
