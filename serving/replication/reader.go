package replication

import (
	"time"

	"cowslipshunt.example/serving/membership"
	"github.com/cespare/xxhash/v2"
)

const (
	// minInstances is how many instances a deployment must have for readers to pass changes on. In a smaller one each instance reads the
	// store itself.
	minInstances = 30
	// readersPerDomain is how many instances of a failure domain read the store and pass changes on to the others.
	readersPerDomain = 2
	// minSilence is the shortest usable time after which an instance reads the store itself as it hears of no reader.
	minSilence = 1500 * time.Millisecond
)

// Role is what an instance does about a table.
type Role int

// The roles.
const (
	// Alone instances read the store and pass nothing on.
	Alone Role = iota
	// Reader instances read the store and pass changes on to the others of their failure domain.
	Reader
	// Receiver instances read the store only while they hear of no reader.
	Receiver
)

// String names the role for logs.
func (r Role) String() string {
	return [...]string{"Alone", "Reader", "Receiver"}[r]
}

// MaxSilence returns for how long an update vouches for a copy that has to follow the store within a bound: half of the bound, so that
// the other half remains for reading the store.
func MaxSilence(bound time.Duration) time.Duration {
	return bound / 2
}

// ReaderWait returns how long a reader lets the store hold an open feed call. It passes an update on after each answer, so that receivers
// hear of it at least twice within maxSilence.
func ReaderWait(maxSilence time.Duration) time.Duration {
	return maxSilence / 2
}

// RoleOf returns the role of an instance among the peers that it hears of. The readers of a failure domain are chosen by the hash of their
// addresses, so that all instances that hear of each other agree.
func RoleOf(self membership.Peer, peers []membership.Peer, maxSilence time.Duration) Role {
	if len(peers)+1 < minInstances || maxSilence < minSilence {
		return Alone
	}
	own := xxhash.Sum64String(self.Address)
	rank := 0
	for _, p := range peers {
		if p.Domain == self.Domain && p.Address != self.Address && xxhash.Sum64String(p.Address) < own {
			rank++
		}
	}
	if rank < readersPerDomain {
		return Reader
	}
	return Receiver
}
