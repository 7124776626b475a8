package main

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"cowslipshunt.example/serving/clearance"
	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/serving/peerload"
	"cowslipshunt.example/serving/quarantine"
	"cowslipshunt.example/serving/quota"
	"cowslipshunt.example/serving/replication"
	"cowslipshunt.example/shared/era"
	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
)

const (
	// reportInterval is the shortest interval between load reports while loads change. A prefill takes several times as long.
	reportInterval = 50 * time.Millisecond
	// maxReportInterval is the interval between load reports while nothing changes.
	maxReportInterval = time.Second
	// reportsPerSecond bounds the reports that one instance sends to all peers together, as long as each peer gets one every
	// freshReportInterval: on a link of 10 Mbit/s, reports must leave room for requests.
	reportsPerSecond    = 150
	freshReportInterval = 500 * time.Millisecond
	// maxReportsPerSecond bounds the reports in deployments in which that interval cannot be kept.
	maxReportsPerSecond = 400
	// maxDatagramBytes is the largest datagram that is sent to many instances: one that is not fragmented.
	maxDatagramBytes = 1400
	// maxHandoffBytes is the largest datagram of a hand-off, which has a count for each workspace.
	maxHandoffBytes = 16 << 10
	// maxFrozenBytes is the largest datagram of a frozen window, which has a time for each instance, and the largest that is received.
	maxFrozenBytes = 48 << 10
)

// message is the content of one datagram: a load report with the applied versions and evidence, a hand-off of usage counts, or an update of a table.
type message struct {
	Report  *peerload.Report    `cbor:"1,keyasint,omitempty"`
	Handoff *metering.Handoff   `cbor:"2,keyasint,omitempty"`
	Applied *appliedVersions    `cbor:"3,keyasint,omitempty"`
	Update  *replication.Update `cbor:"4,keyasint,omitempty"`
	// Evidence tells of prompt parts that crash endpoints.
	Evidence *quarantine.Evidence `cbor:"5,keyasint,omitempty"`
	// Leaving belongs to the report.
	Leaving []peerload.Departure `cbor:"6,keyasint,omitempty"`
	Quota   *quota.Packet        `cbor:"7,keyasint,omitempty"`
	// Frozen is a copy of a frozen usage window.
	Frozen *metering.Frozen `cbor:"9,keyasint,omitempty"`
	// Era is the era of the store that the sender of a report knows, or in which the store has a frozen window.
	Era era.Era `cbor:"10,keyasint,omitempty"`
	// Speeds belong to the report, too.
	Speeds    []peerload.Speed     `cbor:"11,keyasint,omitempty"`
	Pledge    *clearance.Pledge    `cbor:"12,keyasint,omitempty"`
	Receipt   *clearance.Receipt   `cbor:"13,keyasint,omitempty"`
	Clearance *clearance.Clearance `cbor:"14,keyasint,omitempty"`
	// Holder is the address to which the receipt of a frozen window is sent.
	Holder string `cbor:"15,keyasint,omitempty"`
}

// peers exchanges load reports and hand-offs of usage counts with the other instances, over UDP.
type peers struct {
	self      lease.Identity
	conn      *net.UDPConn
	reporter  *peerload.Reporter
	peerLoads *peerload.Table
	// quarantine is shared with the peers.
	quarantine *quarantine.Table
	handoffs   *metering.Handoffs
	// address is where this instance receives datagrams.
	address string
	// witness keeps the pledges of the lease holder.
	witness *clearance.Witness
	// restores is what is shared about restores of the store.
	restores *restores
	// agreedNow returns the time that all instances agree on. The age of a hand-off is computed from it.
	agreedNow func() time.Time
	logger    *log.Logger
	// stop ends receiveLoop and reportLoop.
	stop context.CancelFunc

	// quotas is nil until the instance serves quotas.
	quotas atomic.Pointer[quotaRunner]
	// ledger is nil until the duties are made.
	ledger atomic.Pointer[clearance.Ledger]
	// handoffTurns counts the calls of HandOff.
	handoffTurns atomic.Int64

	mu sync.Mutex
	// members are the peers that the store lists.
	members []membership.Peer
	// followers are nil until setFollowers is called.
	followers *followers
	// incarnations are those of which this instance has heard.
	incarnations map[wire.InstanceName]wire.IncarnationId
}

// newPeers listens at a UDP address and exchanges reports with the peers until close is called.
func newPeers(self lease.Identity, address string, reporter *peerload.Reporter, peerLoads *peerload.Table, q *quarantine.Table, handoffs *metering.Handoffs, agreedNow func() time.Time, logger *log.Logger) (*peers, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &peers{self: self, conn: conn, reporter: reporter, peerLoads: peerLoads, quarantine: q, handoffs: handoffs, restores: newRestores(), agreedNow: agreedNow, logger: logger, stop: stop,
		address: address, incarnations: map[wire.InstanceName]wire.IncarnationId{}}
	p.witness = clearance.NewWitness(clockFunc(agreedNow), p, clearance.WithObserver(p.logCleared))
	go p.receiveLoop(ctx)
	go p.reportLoop(ctx)
	return p, nil
}

// close stops the exchange and closes the socket.
func (p *peers) close() {
	p.stop()
	_ = p.conn.Close()
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
	buffer := make([]byte, maxFrozenBytes)
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
		m.Report.Leaving, m.Report.Speeds = m.Leaving, m.Speeds
		p.peerLoads.Apply(*m.Report, time.Now())
		p.handoffs.SetIncarnation(m.Report.From, m.Report.Incarnation)
		p.noteIncarnation(m.Report.From, m.Report.Incarnation, m.Report.Address)
	}
	if m.Handoff != nil {
		p.handoffs.Keep(*m.Handoff, p.agreedNow())
	}
	if m.Evidence != nil {
		p.quarantine.Apply(m.Evidence)
	}
	if q := p.quotas.Load(); q != nil && m.Quota != nil {
		q.receive(m.Quota)
	}
	p.receiveClearance(&m)
	f := p.tableFollowers()
	if f != nil && m.Era > 0 {
		f.peerKnowsEra(m.Era, p.restores)
	}
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
		timer.Reset(reportDelay(len(addresses)))
		_ = protect(p.logger, "report", func() { p.reportOnce(addresses, &lastSent) })
	}
}

// reportDelay returns the interval between reports to a number of peers while loads change.
func reportDelay(peers int) time.Duration {
	perPeer := func(perSecond int) time.Duration {
		return time.Duration(peers) * time.Second / time.Duration(perSecond)
	}
	delay := max(reportInterval, min(perPeer(reportsPerSecond), freshReportInterval), perPeer(maxReportsPerSecond))
	return min(delay, maxReportInterval)
}

// reportOnce reports this instance's load to the addresses, unless nothing has changed since lastSent, less than maxReportInterval ago.
func (p *peers) reportOnce(addresses []string, lastSent *time.Time) {
	now := time.Now()
	report, changed := p.reporter.Next(now)
	evidence, urgent := p.quarantine.Next()
	// Without the margin, a timer that fires a moment early would double the interval.
	if !changed && !urgent && now.Sub(*lastSent) < maxReportInterval-reportInterval {
		return
	}
	*lastSent = now
	p.peerLoads.Expire(now)
	p.broadcast(report, evidence, addresses)
}

// broadcast sends a report to all peers. Evidence that does not fit into a datagram beside it is sent in one of its own; a report that does
// not fit is shortened until it does. One that does not fit although it has neither sent parts nor loads left is logged and not sent.
func (p *peers) broadcast(report peerload.Report, evidence *quarantine.Evidence, addresses []string) {
	m := message{Report: &report, Leaving: report.Leaving, Speeds: report.Speeds, Evidence: evidence, Era: p.restores.era()}
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
		if m.Speeds != nil {
			m.Speeds = nil
			continue
		}
		if m.Evidence != nil {
			p.broadcastEvidence(m.Evidence, addresses)
			m.Evidence = nil
			continue
		}
		if len(report.Sent)+len(report.Loads) == 0 {
			p.logger.Error().Int("Bytes", len(data)).Msg("PeerReportNotSent")
			return
		}
		metrics.GetOrCreateCounter("router_peer_reports_cut_total").Inc()
		report = report.Shortened()
	}
}
