package main

import (
	"net/netip"

	"cowslipshunt.example/serving/quarantine"
	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
)

// broadcastEvidence sends evidence to all peers in a datagram of its own.
func (p *peers) broadcastEvidence(e *quarantine.Evidence, addresses []string) {
	data, err := cbor.Marshal(message{Evidence: e})
	if err != nil || len(data) > maxDatagramBytes {
		p.logger.Error().Int("Bytes", len(data)).Err(err).Msg("EvidenceNotSent")
		return
	}
	p.transmit(data, addresses)
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
