package quota

import (
	"time"

	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/wire"
	"github.com/cespare/xxhash/v2"
)

// viewInterval is how often the live instances are looked up.
const viewInterval = 250 * time.Millisecond

// membershipView is what an instance knows of the live instances, and the coordinators that follow from it.
type membershipView struct {
	updated time.Time
	// list holds the live instances with this one, hashes those of their addresses.
	list    []membership.Peer
	hashes  []uint64
	domains map[wire.DomainName]bool
	leaders map[leaderKey]string
	// seen is when an instance of each domain was last heard.
	seen map[wire.DomainName]time.Time
	// digest changes with the instances.
	digest uint64
}

type leaderKey struct {
	workspace wire.WorkspaceName
	domain    wire.DomainName
}

// refresh looks up the live instances, unless that was done of late.
func (v *membershipView) refresh(m *Manager, now time.Time) {
	if !v.updated.IsZero() && now.Sub(v.updated) < viewInterval {
		return
	}
	v.updated = now
	list := append(m.network.Instances(), m.self)
	digest := uint64(0)
	hashes := make([]uint64, len(list))
	for i, p := range list {
		hashes[i] = xxhash.Sum64String(p.Address)
		digest ^= mix(hashes[i] ^ xxhash.Sum64String(string(p.Domain)))
	}
	if v.seen == nil {
		v.seen = map[wire.DomainName]time.Time{}
	}
	for _, p := range list {
		v.seen[p.Domain] = now
	}
	if digest == v.digest && len(list) == len(v.list) {
		return
	}
	v.list, v.hashes, v.digest = list, hashes, digest
	v.domains = map[wire.DomainName]bool{}
	for _, p := range v.list {
		v.domains[p.Domain] = true
	}
	v.leaders = map[leaderKey]string{}
}

// mix returns a hash of a hash (the finalizer of MurmurHash3). Hashing names and addresses anew for each pair of them takes too long with 240
// workspaces and 400 instances.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// others returns the domains but one of which an instance was heard within cutReserve.
func (v *membershipView) others(own wire.DomainName, now time.Time) []wire.DomainName {
	var list []wire.DomainName
	for d, at := range v.seen {
		if d != own && now.Sub(at) < cutReserve {
			list = append(list, d)
		}
	}
	return list
}

// alive reports whether any instance of a domain is heard.
func (v *membershipView) alive(d wire.DomainName) bool {
	return v.domains[d]
}

// leader returns the address of a workspace's coordinator in a domain: the first instance in the rendezvous order of the workspace's name.
func (v *membershipView) leader(w wire.WorkspaceName, d wire.DomainName) string {
	k := leaderKey{w, d}
	if address, ok := v.leaders[k]; ok {
		return address
	}
	best, lowest, own := "", uint64(0), xxhash.Sum64String(string(w))
	for i, p := range v.list {
		if p.Domain != d {
			continue
		}
		if h := mix(own ^ v.hashes[i]); best == "" || h < lowest {
			best, lowest = p.Address, h
		}
	}
	v.leaders[k] = best
	return best
}
