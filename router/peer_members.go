package main

import "cowslipshunt.example/serving/membership"

func (p *peers) setMembers(members []membership.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = members
}

// hearsAllMembers reports whether the peers that send reports are exactly those that the store listed last.
func (p *peers) hearsAllMembers() bool {
	reporting := p.peerLoads.Peers()
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(p.members))
	for _, m := range p.members {
		listed[m.Address] = true
	}
	for _, x := range reporting {
		if !listed[x.Address] {
			return false
		}
	}
	return len(reporting) == len(listed)
}
