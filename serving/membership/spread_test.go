package membership_test

import (
	"fmt"
	"slices"
	"testing"

	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

// TestCopiesAreSpreadOverFailureDomains checks that the loss of one failure domain leaves a copy, and that the choice hardly changes
// when a peer leaves.
func TestCopiesAreSpreadOverFailureDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 5).Draw(t, "domains")
		var peers []membership.Peer
		for i := range rapid.IntRange(0, 200).Draw(t, "peers") {
			domain := wire.DomainName(fmt.Sprint(rapid.IntRange(0, domains-1).Draw(t, "domain")))
			peers = append(peers, membership.Peer{Address: fmt.Sprint("10.0.0.", i), Domain: domain})
		}
		const copies = 3
		chosen := membership.ChooseSpread(peers, "key", copies)
		distinct := func(list []membership.Peer) int {
			seen := map[wire.DomainName]bool{}
			for _, p := range list {
				seen[p.Domain] = true
			}
			return len(seen)
		}
		if len(chosen) != min(copies, len(peers)) || distinct(chosen) != min(copies, distinct(peers)) {
			t.Fatalf("chose %v of %v", chosen, peers)
		}
		if len(peers) == 0 {
			return
		}
		left := peers[rapid.IntRange(0, len(peers)-1).Draw(t, "left")]
		rest := slices.DeleteFunc(slices.Clone(peers), func(p membership.Peer) bool { return p == left })
		if again := membership.ChooseSpread(rest, "key", copies); !slices.Contains(chosen, left) && !slices.Equal(again, chosen) {
			t.Fatalf("chose %v, and %v after %v had left", chosen, again, left)
		}
	})
}
