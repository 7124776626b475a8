package main

import (
	"time"

	"cowslipshunt.example/serving/clearance"
	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/shared/era"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
)

// copiesRepeat is when an instance that has started gets the copies of frozen windows for the second time, as datagrams may be lost.
const copiesRepeat = time.Second

// maxIncarnations bounds the instances whose incarnation is remembered. Beyond it, all get the copies again.
const maxIncarnations = 4096

// clockFunc is a function that returns the agreed time.
type clockFunc func() time.Time

// Now returns the agreed time.
func (f clockFunc) Now() time.Time { return f() }

// Witnesses returns the addresses of frozenPeers peers in as many failure domains as possible.
func (p *peers) Witnesses() []string {
	chosen := membership.ChooseSpread(p.all(), string(p.self.Incarnation), frozenPeers)
	list := make([]string, 0, len(chosen))
	for _, peer := range chosen {
		list = append(list, peer.Address)
	}
	return list
}

// Pledge sends a pledge to a witness.
func (p *peers) Pledge(witness string, x clearance.Pledge) {
	p.sendTo(message{Pledge: &x}, witness)
}

// SendCopy sends a copy of a usage window, for whose report this instance waits, to a witness.
func (p *peers) SendCopy(witness string, f metering.Frozen, stored era.Era) {
	p.logger.Info().Int64("Window", int64(f.Window)).Str("Witness", witness).Int("Era", int(stored)).Msg("UsageReportWaits")
	p.sendCopy(f, stored, []string{witness})
}

// Announce sends a clearance to all peers.
func (p *peers) Announce(c clearance.Clearance) {
	p.sendTo(message{Clearance: &c}, p.addresses()...)
}

// sendFrozen sends a copy of a usage window that was frozen in an era to the witnesses. It does nothing while the store gives no eras.
func (p *peers) sendFrozen(f metering.Frozen, stored era.Era) {
	store := p.restores.store.Load()
	if store == nil || !store.GivesEra() {
		return
	}
	p.sendCopy(f, stored, p.Witnesses())
}

// sendCopy sends a copy of a usage window that the store has in an era, and asks for receipts.
func (p *peers) sendCopy(f metering.Frozen, stored era.Era, addresses []string) {
	data, err := cbor.Marshal(message{Frozen: &f, Era: stored, Holder: p.address})
	if err != nil || len(data) > maxFrozenBytes {
		p.logger.Error().Int64("Window", int64(f.Window)).Int("Bytes", len(data)).Err(err).Msg("UsageWindowNotCopied")
		return
	}
	p.transmit(data, addresses)
}

// handOver sends all that is known of frozen usage windows to peers, so that it outlives this instance or reaches one that has started.
func (p *peers) handOver(addresses []string) {
	now := p.agreedNow()
	for _, x := range p.restores.copies.All(now) {
		p.sendCopy(x.Frozen, x.Stored, addresses)
	}
	if c, known := p.witness.Clearance(p.restores.era()); known {
		p.sendTo(message{Clearance: &c}, addresses...)
	}
}

// sendTo sends a message to each address.
func (p *peers) sendTo(m message, addresses ...string) {
	data, err := cbor.Marshal(m)
	if err != nil {
		p.logger.Error().Err(err).Msg("PeerMessageNotSent")
		return
	}
	p.transmit(data, addresses)
}

// receiveClearance applies what a datagram says of reported usage windows, and acknowledges it.
func (p *peers) receiveClearance(m *message) {
	if m.Frozen != nil && p.restores.copies.Keep(*m.Frozen, m.Era, p.agreedNow()) && p.witness.ReceiveCopy(m.Frozen.Window, m.Era) && m.Holder != "" {
		p.sendTo(message{Receipt: &clearance.Receipt{Witness: p.address, Window: m.Frozen.Window}}, m.Holder)
	}
	if m.Pledge != nil && p.witness.ReceivePledge(*m.Pledge) {
		p.sendTo(message{Receipt: &clearance.Receipt{Witness: p.address, Until: m.Pledge.Until}}, m.Pledge.Holder)
	}
	if l := p.ledger.Load(); l != nil && m.Receipt != nil {
		l.ReceiveReceipt(*m.Receipt)
	}
	if m.Clearance != nil {
		p.witness.ReceiveClearance(*m.Clearance)
	}
}

// noteIncarnation hands over to an instance of whose incarnation this one hears for the first time.
func (p *peers) noteIncarnation(instance wire.InstanceName, incarnation wire.IncarnationId, address string) {
	if store := p.restores.store.Load(); store == nil || !store.GivesEra() {
		return
	}
	p.mu.Lock()
	known := p.incarnations[instance] == incarnation
	if !known && len(p.incarnations) >= maxIncarnations {
		clear(p.incarnations)
	}
	p.incarnations[instance] = incarnation
	p.mu.Unlock()
	if known {
		return
	}
	for _, delay := range []time.Duration{0, copiesRepeat} {
		time.AfterFunc(delay, func() {
			_ = protect(p.logger, "copies for a peer", func() { p.handOver([]string{address}) })
		})
	}
}

// logCleared logs a clearance, by which usage windows may be frozen although the store was restored.
func (p *peers) logCleared(c clearance.Clearance, source clearance.Source) {
	metrics.GetOrCreateCounter("router_usage_clearances_total").Inc()
	p.logger.Info().Int64("FirstWindow", int64(c.First)).Int("Era", int(c.Era)).Str("Source", string(source)).Msg("UsageWindowsCleared")
}
