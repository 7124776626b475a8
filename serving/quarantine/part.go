// Package quarantine finds prompt parts that crash the endpoints that generate from them, and withholds requests with such parts from
// all endpoints. Instances share what they have seen, as each of them sees only a few of the crashes.
package quarantine

import (
	"encoding/binary"
	"fmt"
	"slices"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/roster"
	"github.com/cespare/xxhash/v2"
)

// PartID identifies the content of a prompt part, whichever parts precede it.
type PartID uint64

// NewPartID returns the id of the part with a name.
func NewPartID(name string) PartID {
	return PartID(xxhash.Sum64String(name))
}

// String returns the id as it is logged.
func (id PartID) String() string {
	return fmt.Sprintf("%016x", uint64(id))
}

// sharedParts returns the parts that other prompts may share: all but the last.
func sharedParts(p *placement.Prompt) []placement.Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// partIDs returns the sorted ids of a prompt's shared parts.
func partIDs(p *placement.Prompt) []PartID {
	shared := sharedParts(p)
	ids := make([]PartID, 0, len(shared))
	for _, part := range shared {
		ids = append(ids, NewPartID(part.Name))
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// containsAll reports whether a sorted set contains all parts of another.
func containsAll(set, parts []PartID) bool {
	for _, p := range parts {
		if _, found := slices.BinarySearch(set, p); !found {
			return false
		}
	}
	return true
}

// EndpointHash identifies an incarnation of an endpoint.
type EndpointHash uint64

func hashEndpoint(k roster.Key) EndpointHash {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(k.ID))
	var born [8]byte
	binary.LittleEndian.PutUint64(born[:], uint64(k.Born))
	_, _ = digest.Write(born[:])
	return EndpointHash(digest.Sum64())
}
