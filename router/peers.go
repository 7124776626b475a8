package main

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/serving/peerload"
	"cowslipshunt.example/shared/lease"
	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
)

// Times and sizes of the peers' reports.
const (
	// reportEvery is how often loads are reported while they change: a prefill takes several times as long.
	reportEvery = 50 * time.Millisecond
	// reportAtLeast is how often they are reported although nothing has changed.
	reportAtLeast = time.Second
	// maxReportsPerSecond bounds what one instance sends: with many peers it reports less often.
	maxReportsPerSecond = 400
	maxDatagram         = 1400
)

// handoffCopies is how many peers get a copy of counts that could not be written: the loss of a failure domain, or of the
// instances that stop next, leaves one.
const handoffCopies = 3

// message is one datagram: a report of load or a hand-off of counts.
type message struct {
	Report  *peerload.Report  `cbor:"1,keyasint,omitempty"`
	Handoff *metering.Handoff `cbor:"2,keyasint,omitempty"`
}

// peers sends this instance's load to the others and takes theirs, by datagrams.
type peers struct {
	self     lease.Identity
	conn     *net.UDPConn
	reporter *peerload.Reporter
	board    *peerload.Board
	handoffs *metering.Handoffs
	// agreed returns the agreed time, by which hand-offs grow old.
	agreed func() time.Time
	logger *log.Logger
	// stop ends the goroutines.
	stop context.CancelFunc

	mu sync.Mutex
	// listed are the addresses that the store lists.
	listed []string
}

// newPeers listens at an address and exchanges reports until it is closed.
func newPeers(self lease.Identity, address string, reporter *peerload.Reporter, board *peerload.Board, handoffs *metering.Handoffs, agreed func() time.Time, logger *log.Logger) (*peers, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &peers{self: self, conn: conn, reporter: reporter, board: board, handoffs: handoffs, agreed: agreed, logger: logger, stop: stop}
	go p.take(ctx)
	go p.send(ctx)
	return p, nil
}

// close ends the exchange.
func (p *peers) close() {
	p.stop()
	_ = p.conn.Close()
}

func (p *peers) setAddresses(list []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = list
}

// addresses are those that the store lists and those that report.
func (p *peers) addresses() []string {
	all := p.board.Addresses()
	p.mu.Lock()
	defer p.mu.Unlock()
	all = append(all, p.listed...)
	slices.Sort(all)
	return slices.Compact(all)
}

func (p *peers) take(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				p.logger.Warn().Err(err).Msg("PeerReportUnread")
			}
			continue
		}
		var m message
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil {
			metrics.GetOrCreateCounter("router_peer_reports_rejected_total").Inc()
			continue
		}
		if m.Report != nil {
			p.board.Take(*m.Report, time.Now())
		}
		if m.Handoff != nil {
			p.handoffs.Take(*m.Handoff, p.agreed())
		}
	}
}

func (p *peers) send(ctx context.Context) {
	timer := time.NewTimer(reportEvery)
	defer timer.Stop()
	last := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		to := p.addresses()
		timer.Reset(max(reportEvery, time.Duration(len(to))*time.Second/maxReportsPerSecond))
		report, changed := p.reporter.Next(time.Now())
		if !changed && time.Since(last) < reportAtLeast {
			continue
		}
		last = time.Now()
		p.board.Expire(last)
		p.broadcast(report, to)
	}
}

// broadcast sends a report to all. One that does not fit into a datagram goes without what matters least.
func (p *peers) broadcast(report peerload.Report, to []string) {
	for {
		data, err := cbor.Marshal(message{Report: &report})
		if err != nil {
			p.logger.Error().Err(err).Msg("PeerReportNotSent")
			return
		}
		if len(data) <= maxDatagram {
			p.transmit(data, to)
			return
		}
		if len(report.Uses)+len(report.Loads) == 0 {
			p.logger.Error().Int("Bytes", len(data)).Msg("PeerReportNotSent")
			return
		}
		metrics.GetOrCreateCounter("router_peer_reports_cut_total").Inc()
		report = report.Shorter()
	}
}

// HandOff gives copies of counts to some of the peers, the same ones while these are alive.
func (p *peers) HandOff(list []metering.Handoff) {
	to := p.addresses()
	key := string(p.self.Incarnation)
	slices.SortFunc(to, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(key+a), xxhash.Sum64String(key+b)) })
	to = to[:min(len(to), handoffCopies)]
	for _, x := range list {
		data, err := cbor.Marshal(message{Handoff: &x})
		if err != nil || len(data) > maxDatagram {
			p.logger.Error().Int64("Window", int64(x.Window)).Int("Bytes", len(data)).Err(err).Msg("UsageNotHandedOff")
			continue
		}
		p.transmit(data, to)
	}
}

func (p *peers) transmit(data []byte, to []string) {
	for _, address := range to {
		at, err := netip.ParseAddrPort(address)
		if err != nil {
			p.logger.Warn().Str("Address", address).Err(err).Msg("PeerAddressRejected")
			continue
		}
		if _, err := p.conn.WriteToUDPAddrPort(data, at); err != nil {
			metrics.GetOrCreateCounter("router_peer_reports_unsent_total").Inc()
		}
	}
}
