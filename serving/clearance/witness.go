package clearance

import (
	"sync"
	"time"

	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/shared/era"
)

const (
	// clockSkew is the largest difference between the agreed times of two instances.
	clockSkew = 100 * time.Millisecond
	// announcements is how often a clearance is sent, as datagrams may be lost.
	announcements = 4
	// maxPledgeTime bounds the time for which a pledge lasts: terms of leases are seconds.
	maxPledgeTime = time.Minute
	// maxPledges bounds the pledges that a witness keeps. One holder's are replaced as windows are frozen.
	maxPledges = 16
	// maxEras bounds the eras of which clearances are kept.
	maxEras = 4
)

// Witness keeps the pledges that an instance has received, and the clearances that it has made or received. It is safe for concurrent use.
type Witness struct {
	clock Clock
	peers Peers

	observe func(c Clearance, source Source)

	mu sync.Mutex
	// era is the era of the store that this instance knows.
	era era.Era
	// pledges are the ends of the pledges by their first window, in Unix milliseconds.
	pledges map[metering.Window]int64
	// cleared are the first windows that nobody reported before an era.
	cleared map[era.Era]metering.Window
	// announce is how often the clearance of the era is still to be sent.
	announce int
}

// Source is what a clearance follows from.
type Source string

// Values of Source.
const (
	// FromPledge is a pledge that had not ended when this instance learned of the restore.
	FromPledge Source = "pledge"
	// FromLease is a lease that this instance held when it learned of the restore.
	FromLease Source = "lease"
	// FromPeer is the message of a peer.
	FromPeer Source = "peer"
)

// Option configures a Witness.
type Option func(*Witness)

// WithObserver sets a function that is called with each clearance that clears more windows than those before. It must not block, nor call the
// Witness.
func WithObserver(observe func(c Clearance, source Source)) Option {
	return func(w *Witness) {
		w.observe = observe
	}
}

// NewWitness returns a Witness without pledges.
func NewWitness(c Clock, p Peers, opts ...Option) *Witness {
	w := &Witness{clock: c, peers: p, pledges: map[metering.Window]int64{}, cleared: map[era.Era]metering.Window{}, observe: func(Clearance, Source) {}}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// ReceivePledge notes a pledge and reports whether it is to be acknowledged.
func (w *Witness) ReceivePledge(p Pledge) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now().UnixMilli()
	if p.First < 0 || p.Until < now || p.Until > now+maxPledgeTime.Milliseconds() {
		return false
	}
	for first, until := range w.pledges {
		if until < now {
			delete(w.pledges, first)
		}
	}
	if _, known := w.pledges[p.First]; !known && len(w.pledges) >= maxPledges {
		return false
	}
	w.pledges[p.First] = max(w.pledges[p.First], p.Until)
	return true
}

// ReceiveCopy notes that this instance has a copy of a window that the store has in an era, and reports whether it is to be acknowledged:
// its holder may then report the window. A holder that does not know of a later era must not, as the window may have been cleared.
func (w *Witness) ReceiveCopy(x metering.Window, stored era.Era) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if stored < w.era {
		return false
	}
	var until int64
	for first, u := range w.pledges {
		if first <= x {
			until = max(until, u)
			delete(w.pledges, first)
		}
	}
	if until > 0 {
		w.pledges[x+1] = max(w.pledges[x+1], until)
	}
	return true
}

// ReceiveClearance notes a clearance of a peer.
func (w *Witness) ReceiveClearance(c Clearance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Era <= 0 || c.Era > era.Max || c.First < 0 || c.Era < w.era {
		return
	}
	w.clear(c, FromPeer)
}

// clear notes a clearance. The caller must hold w.mu.
func (w *Witness) clear(c Clearance, source Source) {
	for e := range w.cleared {
		if e < w.era {
			delete(w.cleared, e)
		}
	}
	first, known := w.cleared[c.Era]
	if !known && len(w.cleared) >= maxEras {
		return
	}
	if !known || c.First < first {
		w.cleared[c.Era] = c.First
		w.observe(c, source)
	}
}

// Clearance returns the clearance of an era, and whether there is one.
func (w *Witness) Clearance(e era.Era) (Clearance, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	first, known := w.cleared[e]
	return Clearance{Era: e, First: first}, known
}

// observeEra clears the windows that the pledges say were not reported before a new era, and those that the own duty says, if any. It then
// announces the clearance several times, once a call.
func (w *Witness) observeEra(e era.Era, own *metering.Window) {
	w.mu.Lock()
	if e > w.era {
		w.era, w.announce = e, 0
		now := w.clock.Now().Add(clockSkew).UnixMilli()
		for first, until := range w.pledges {
			if until >= now {
				w.clear(Clearance{Era: e, First: first}, FromPledge)
				w.announce = announcements
			}
		}
		if own != nil {
			w.clear(Clearance{Era: e, First: *own}, FromLease)
			w.announce = announcements
		}
	}
	first, known := w.cleared[w.era]
	due := known && w.announce > 0
	if due {
		w.announce--
	}
	c := Clearance{Era: w.era, First: first}
	w.mu.Unlock()
	if due {
		w.peers.Announce(c)
	}
}
