package main

import (
	"time"

	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/serving/replication"
	"github.com/fxamacker/cbor/v2"
)

// handoffCopies is the number of peers that get a copy of counts that are not written yet, so that a copy is likely to remain
// when a failure domain is lost or the next instances stop.
const handoffCopies = 3

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
