package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of what one report tells the peers. Together with a load report it has to fit into one datagram.
const (
	maxSharedCrashes = 6
	maxSharedSound   = 16
	maxSharedAlive   = 8
	maxSharedHolds   = 8
	// maxSharedParts bounds the parts of all crashes in a report, and those of all holds. Each part takes 9 bytes.
	maxSharedParts = 24
	// maxShares is in how many reports each crash, sound part and change of a hold is sent, as some reports are lost.
	maxShares = 4
	// steadySharers is how many instances, those of the lowest ranks, send their holds in every report, for instances that start later.
	steadySharers = 4
)

// soundInterval is the shortest interval between two announcements that a part is sound.
const soundInterval = 500 * time.Millisecond

// Crash is a crash as it is reported to peers. Ages are in milliseconds before the report.
type Crash struct {
	_                  struct{} `cbor:",toarray"`
	Endpoint           EndpointHash
	Parts              []PartID
	SentAge, FailedAge int64
}

// Sound reports that a run with a part completed so many milliseconds before the report.
type Sound struct {
	_    struct{} `cbor:",toarray"`
	Part PartID
	Age  int64
}

// Hold is a hold as it is reported to peers: its first crash was FirstAge milliseconds before the report, and it lasts for Left more.
type Hold struct {
	_              struct{} `cbor:",toarray"`
	Parts          []PartID
	FirstAge, Left int64
	Level          int
}

// Alive reports that an endpoint answered a run that was sent so many milliseconds before the report.
type Alive struct {
	_        struct{} `cbor:",toarray"`
	Endpoint EndpointHash
	SentAge  int64
}

// Evidence is what a report tells the peers.
type Evidence struct {
	Crashes []Crash `cbor:"1,keyasint,omitempty"`
	Sound   []Sound `cbor:"2,keyasint,omitempty"`
	Holds   []Hold  `cbor:"3,keyasint,omitempty"`
	Alive   []Alive `cbor:"4,keyasint,omitempty"`
}

// announcement is a sound part that the peers are told of.
type announcement struct {
	shares int
	at     time.Time
}

// Next returns what the next report tells the peers, or nil if there is nothing, and whether it contains anything that they may not know.
func (t *Table) Next() (e *Evidence, urgent bool) {
	if !t.active.Load() {
		return nil, false
	}
	rank := t.rank()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.evaluateAll(now)
	e = &Evidence{Crashes: t.shareCrashes(now), Sound: t.shareSound(now), Alive: t.shareAlive(now)}
	urgent = len(e.Crashes)+len(e.Sound)+len(e.Alive) > 0
	e.Holds = t.shareHolds(now, rank, &urgent)
	if t.log.expire(now) {
		t.updateExplained()
	}
	t.active.Store(len(t.log.crashes)+len(t.holds)+len(t.announced)+len(t.alive) > 0)
	if !urgent && len(e.Holds) == 0 {
		return nil, false
	}
	return e, urgent
}

// shareCrashes returns the crashes to report: those first that were reported least often, and of these the ones with parts that are not
// known to be sound.
func (t *Table) shareCrashes(now time.Time) []Crash {
	var pending []*crash
	for _, c := range t.log.crashes {
		if c.shares > 0 {
			pending = append(pending, c)
		}
	}
	unproven := func(c *crash) int {
		if slices.ContainsFunc(c.parts, func(p PartID) bool { return !t.isProven(p) }) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(pending, func(a, b *crash) int {
		return cmp.Or(cmp.Compare(unproven(b), unproven(a)), cmp.Compare(b.shares, a.shares), b.failed.Compare(a.failed))
	})
	var list []Crash
	parts := 0
	for _, c := range pending {
		if parts += len(c.parts); parts > maxSharedParts || len(list) == maxSharedCrashes {
			break
		}
		c.shares--
		list = append(list, Crash{Endpoint: c.endpoint, Parts: c.parts, SentAge: now.Sub(c.sent).Milliseconds(), FailedAge: now.Sub(c.failed).Milliseconds()})
	}
	return list
}

func (t *Table) shareSound(now time.Time) []Sound {
	var list []Sound
	for p, a := range t.announced {
		if a.shares == 0 && now.Sub(a.at) >= soundInterval {
			delete(t.announced, p)
			continue
		}
		last, known := t.sound.last(p)
		if a.shares == 0 || !known || len(list) == maxSharedSound {
			continue
		}
		a.shares--
		list = append(list, Sound{Part: p, Age: now.Sub(last).Milliseconds()})
	}
	return list
}

// heardSound leaves it to a peer to tell the others that a part is sound, unless this instance knows of a much later run.
func (t *Table) heardSound(p PartID, at time.Time) {
	a, announced := t.announced[p]
	if last, _ := t.sound.last(p); announced && last.Sub(at) < soundInterval {
		a.shares = 0
	}
}

// shareHolds returns the holds to report: those that are new or have changed first, the others in turn.
func (t *Table) shareHolds(now time.Time, rank int, urgent *bool) []Hold {
	var list []Hold
	parts := 0
	slices.SortStableFunc(t.holds, func(a, b *hold) int { return cmp.Compare(b.shares, a.shares) })
	for _, h := range t.holds {
		if h.shares == 0 && rank >= steadySharers {
			continue
		}
		if parts += len(h.parts); parts > maxSharedParts || len(list) == maxSharedHolds {
			break
		}
		if h.shares > 0 {
			h.shares--
			*urgent = true
		}
		list = append(list, Hold{Parts: slices.Clone(h.parts), FirstAge: now.Sub(h.first).Milliseconds(), Left: h.until.Sub(now).Milliseconds(), Level: h.level})
	}
	t.holds = append(t.holds[len(list):], t.holds[:len(list)]...)
	return list
}

// Apply takes the evidence that a peer has reported.
func (t *Table) Apply(e *Evidence) {
	if len(e.Crashes) > maxSharedCrashes || len(e.Sound) > maxSharedSound || len(e.Holds) > maxSharedHolds || len(e.Alive) > maxSharedAlive {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active.Store(true)
	now := t.clock.Now()
	for _, s := range e.Sound {
		if at, ok := before(now, s.Age); ok {
			t.recordSound(s.Part, at)
			t.heardSound(s.Part, at)
		}
	}
	for _, a := range e.Alive {
		if sent, ok := before(now, a.SentAge); ok {
			t.heardAlive(a.Endpoint, sent)
		}
	}
	for _, c := range e.Crashes {
		sent, sentOK := before(now, c.SentAge)
		failed, failedOK := before(now, c.FailedAge)
		if parts, ok := validParts(c.Parts); ok && sentOK && failedOK {
			t.addCrash(&crash{endpoint: c.Endpoint, parts: parts, sent: sent, failed: failed, learned: now})
		}
	}
	for _, h := range e.Holds {
		t.adopt(h, now)
	}
}

// adopt takes a hold that a peer has reported, without the parts that are known here to be sound.
func (t *Table) adopt(reported Hold, now time.Time) {
	parts, ok := validParts(reported.Parts)
	first, inTime := before(now, reported.FirstAge)
	if !ok || !inTime || reported.Level < 0 {
		return
	}
	left := min(max(time.Duration(reported.Left)*time.Millisecond, -maxHold), maxHold)
	h := &hold{parts: parts, first: first, until: now.Add(left), level: min(reported.Level, maxDoublings), shares: maxShares}
	t.announceSound(parts, now)
	t.dropSound(h)
	if len(h.parts) > 0 && t.put(h) {
		t.report(Quarantined, h, now, true)
	}
}

// validParts returns reported parts as a sorted set, and whether their number is within bounds.
func validParts(parts []PartID) ([]PartID, bool) {
	if len(parts) == 0 || len(parts) > maxParts {
		return nil, false
	}
	sorted := slices.Sorted(slices.Values(parts))
	return slices.Compact(sorted), true
}

// before returns the time that was so many milliseconds before now, and whether the age is within bounds.
func before(now time.Time, age int64) (time.Time, bool) {
	if age < 0 || age > maxAge.Milliseconds() {
		return time.Time{}, false
	}
	return now.Add(-time.Duration(age) * time.Millisecond), true
}

// maxAge bounds the ages in reports.
const maxAge = 24 * time.Hour
