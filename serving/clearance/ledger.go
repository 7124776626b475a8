package clearance

import (
	"maps"
	"slices"
	"sync"

	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/shared/era"
	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/wire"
)

// maxUnanswered is how many pledges in a row a witness may leave without a receipt. It then gets none until the last one has ended, so that
// a witness that is gone delays reports only once.
const maxUnanswered = 2

// maxCopied bounds the windows of which the receipts of one witness are kept. Those of windows that were reported are removed.
const maxCopied = 64

// Ledger is what an instance knows as the holder of the lease: which windows were not reported, and what it has pledged to its witnesses. It
// implements metering.Evidence.
type Ledger struct {
	*Witness
	lease Lease
	self  string

	holderMu sync.Mutex
	// tenure is the first epoch of the tenure to which the fields below belong.
	tenure wire.Epoch
	// unreported is the first window that nobody has reported.
	unreported metering.Window
	pledged    map[string]*pledged
	// lastPledge is the last pledge of the tenure.
	lastPledge Pledge
}

// pledged is what a witness was promised.
type pledged struct {
	// terms are the ends of the pledges by their first window, in Unix milliseconds.
	terms map[metering.Window]int64
	// last is the end of the last pledge, and unanswered how many were sent since the last receipt.
	last       int64
	unanswered int
	// copied are the windows of which the witness has acknowledged a copy.
	copied map[metering.Window]bool
}

// NewLedger returns the Ledger of an instance, whose peers reach it at an address.
func NewLedger(l Lease, w *Witness, self string) *Ledger {
	return &Ledger{Witness: w, lease: l, self: self, pledged: map[string]*pledged{}}
}

// ObserveEra clears what is known not to have been reported before an era. It is to be called often, before the lease is acquired in the era.
func (l *Ledger) ObserveEra(e era.Era) {
	var own *metering.Window
	l.holderMu.Lock()
	if t := l.lease.Tenure(); t.Left > 0 && t.First == l.tenure {
		first := l.unreported
		own = &first
	}
	l.holderMu.Unlock()
	l.observeEra(e, own)
}

// FirstUnreported returns the first window that nobody reported before an era, and whether it is known.
func (l *Ledger) FirstUnreported(e era.Era) (metering.Window, bool) {
	c, known := l.Clearance(e)
	return c.First, known
}

// Loaded notes the first window that nobody has reported, as read from the store under the lease.
func (l *Ledger) Loaded(first metering.Window) {
	l.holderMu.Lock()
	defer l.holderMu.Unlock()
	if t := l.lease.Tenure(); t.Left > 0 && t.First != l.tenure {
		l.tenure, l.unreported, l.lastPledge = t.First, first, Pledge{}
	}
}

// MayReport reports whether a window may be reported now: no witness can clear it any more.
func (l *Ledger) MayReport(x metering.Window) bool {
	l.holderMu.Lock()
	defer l.holderMu.Unlock()
	t := l.lease.Tenure()
	// Until the tenure is settled, the pledges of earlier holders have not ended.
	return t.Left > 0 && t.First == l.tenure && t.Settled && (x < l.unreported || len(l.missing(x, t)) == 0)
}

// Distribute sends a copy of a window, which the store has in an era, to the witnesses that have to acknowledge one.
func (l *Ledger) Distribute(f metering.Frozen, stored era.Era) {
	l.holderMu.Lock()
	missing := l.missing(f.Window, l.lease.Tenure())
	l.holderMu.Unlock()
	for _, witness := range missing {
		l.peers.SendCopy(witness, f, stored)
	}
}

// Reporting notes that a window is going to be reported.
func (l *Ledger) Reporting(x metering.Window) {
	l.holderMu.Lock()
	defer l.holderMu.Unlock()
	l.unreported = max(l.unreported, x+1)
	for _, p := range l.pledged {
		maps.DeleteFunc(p.copied, func(copied metering.Window, _ bool) bool { return copied < x })
	}
}

// missing returns the witnesses that may still clear a window. One whose pledge ended before the last renewal cannot: the store had not been
// restored by then. The caller must hold l.holderMu.
func (l *Ledger) missing(x metering.Window, t lease.Tenure) []string {
	confirmed := l.clock.Now().Add(-t.Confirmed).UnixMilli()
	var list []string
	for witness, p := range l.pledged {
		if !p.copied[x] && p.until(x) >= confirmed {
			list = append(list, witness)
		}
	}
	return list
}

// until returns the end of the last pledge that includes a window.
func (p *pledged) until(x metering.Window) int64 {
	var until int64
	for first, u := range p.terms {
		if first <= x {
			until = max(until, u)
		}
	}
	return until
}

// Pledge pledges to the witnesses not to report a window, or a later one, before they have copies. No window from it on may be frozen.
func (l *Ledger) Pledge(next metering.Window) {
	witnesses := l.peers.Witnesses()
	l.holderMu.Lock()
	t := l.lease.Tenure()
	if t.Left <= 0 || t.First != l.tenure {
		l.holderMu.Unlock()
		return
	}
	now := l.clock.Now()
	p := Pledge{Holder: l.self, First: max(next, l.unreported), Until: now.Add(t.Left).UnixMilli()}
	confirmed := now.Add(-t.Confirmed).UnixMilli()
	l.forgetEnded(confirmed)
	l.lastPledge = p
	witnesses = slices.DeleteFunc(witnesses, func(witness string) bool { return !l.note(witness, p, confirmed) })
	l.holderMu.Unlock()
	for _, witness := range witnesses {
		l.peers.Pledge(witness, p)
	}
}

// PledgeAtRelease repeats the last pledge after the lease was released, for as long as the next holder waits before it reports.
func (l *Ledger) PledgeAtRelease() {
	left := l.lease.LeftAtRelease()
	witnesses := l.peers.Witnesses()
	l.holderMu.Lock()
	p := l.lastPledge
	p.First = max(p.First, l.unreported)
	l.holderMu.Unlock()
	if left == 0 || p.Until == 0 {
		return
	}
	p.Until = l.clock.Now().Add(left).UnixMilli()
	for _, witness := range witnesses {
		l.peers.Pledge(witness, p)
	}
}

// note records that a witness gets a pledge, unless it leaves pledges without receipts. The caller must hold l.holderMu.
func (l *Ledger) note(witness string, p Pledge, confirmed int64) bool {
	w := l.pledged[witness]
	if w == nil {
		w = &pledged{terms: map[metering.Window]int64{}, copied: map[metering.Window]bool{}}
		l.pledged[witness] = w
	}
	if w.unanswered >= maxUnanswered && w.last >= confirmed {
		return false
	}
	w.terms[p.First] = max(w.terms[p.First], p.Until)
	w.last = max(w.last, p.Until)
	w.unanswered++
	return true
}

// forgetEnded removes the pledges that ended before a time, and the witnesses that have none left. The caller must hold l.holderMu.
func (l *Ledger) forgetEnded(confirmed int64) {
	for witness, w := range l.pledged {
		maps.DeleteFunc(w.terms, func(_ metering.Window, until int64) bool { return until < confirmed })
		if len(w.terms) == 0 && w.unanswered < maxUnanswered {
			delete(l.pledged, witness)
		}
	}
}

// ReceiveReceipt notes the receipt of a witness.
func (l *Ledger) ReceiveReceipt(r Receipt) {
	l.holderMu.Lock()
	defer l.holderMu.Unlock()
	w := l.pledged[r.Witness]
	switch {
	case w == nil:
	case r.Until > 0:
		w.unanswered = 0
	case len(w.copied) < maxCopied:
		w.copied[r.Window] = true
	}
}
