package main

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"cowslipshunt.example/serving/peerload"
	"github.com/VictoriaMetrics/metrics"
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

// peers sends this instance's load to the others and takes theirs, by datagrams.
type peers struct {
	conn     *net.UDPConn
	reporter *peerload.Reporter
	board    *peerload.Board
	logger   *log.Logger

	mu sync.Mutex
	// listed are the addresses that the store lists.
	listed []string
}

// newPeers listens at an address and exchanges reports until ctx ends.
func newPeers(ctx context.Context, address string, reporter *peerload.Reporter, board *peerload.Board, logger *log.Logger) (*peers, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	p := &peers{conn: conn, reporter: reporter, board: board, logger: logger}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go p.take(ctx)
	go p.send(ctx)
	return p, nil
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
		var r peerload.Report
		if err := cbor.Unmarshal(buffer[:n], &r); err != nil {
			metrics.GetOrCreateCounter("router_peer_reports_rejected_total").Inc()
			continue
		}
		p.board.Take(r, time.Now())
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

func (p *peers) broadcast(report peerload.Report, to []string) {
	data, err := cbor.Marshal(report)
	if err != nil || len(data) > maxDatagram {
		p.logger.Warn().Int("Bytes", len(data)).Err(err).Msg("PeerReportNotSent")
		return
	}
	for _, address := range to {
		at, err := netip.ParseAddrPort(address)
		if err != nil {
			continue
		}
		if _, err := p.conn.WriteToUDPAddrPort(data, at); err != nil {
			metrics.GetOrCreateCounter("router_peer_reports_unsent_total").Inc()
		}
	}
}
