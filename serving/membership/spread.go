package membership

import (
	"cmp"
	"slices"

	"cowslipshunt.example/wire"
	"github.com/cespare/xxhash/v2"
)

// ChooseSpread chooses at most n peers in as many failure domains as possible, so that what they hold outlasts the loss of one. The
// choice depends on the key by rendezvous hashing: it changes only when peers join or leave.
func ChooseSpread(peers []Peer, key string, n int) []Peer {
	byHash := slices.Clone(peers)
	slices.SortFunc(byHash, func(a, b Peer) int {
		return cmp.Compare(xxhash.Sum64String(key+a.Address), xxhash.Sum64String(key+b.Address))
	})
	var chosen, others []Peer
	used := map[wire.DomainName]bool{}
	for _, p := range byHash {
		if used[p.Domain] {
			others = append(others, p)
			continue
		}
		used[p.Domain] = true
		chosen = append(chosen, p)
	}
	chosen = append(chosen, others...)
	return chosen[:min(len(chosen), n)]
}
