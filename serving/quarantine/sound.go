package quarantine

import "time"

// maxSoundParts bounds the parts in each of the two generations of a soundParts.
const maxSoundParts = 8192

// soundParts holds when a run with each of the parts last completed. It forgets the parts that were used least recently.
type soundParts struct {
	recent, older map[PartID]time.Time
}

func newSoundParts() *soundParts {
	return &soundParts{recent: map[PartID]time.Time{}}
}

// record records that a run with a part completed, unless a later one is known, and reports whether it did.
func (s *soundParts) record(p PartID, at time.Time) bool {
	if last, known := s.last(p); known && !at.After(last) {
		return false
	}
	if _, known := s.recent[p]; !known && len(s.recent) >= maxSoundParts {
		s.older, s.recent = s.recent, make(map[PartID]time.Time, maxSoundParts)
	}
	s.recent[p] = at
	return true
}

// last returns when a run with a part last completed, and whether one is known.
func (s *soundParts) last(p PartID) (time.Time, bool) {
	if at, known := s.recent[p]; known {
		return at, true
	}
	at, known := s.older[p]
	return at, known
}
