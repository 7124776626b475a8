package metering

import (
	"cowslipshunt.example/shared/era"
)

// Withheld are windows that are not frozen: the store, which was restored, has no row of them, and nobody knows that they were not reported.
type Withheld struct {
	First, Last Window
	Era         era.Era
	// FromPeers is set if an instance that ran before the restore knows that the window after Last was not reported. Otherwise that follows
	// from the time at which this instance learned of the restore.
	FromPeers bool
}

// WithWithheld sets functions that are called with windows that are not frozen after a restore, and at least once with each set of counts of
// them.
func WithWithheld(withheld func(x Withheld), counts func(w Window, counts Counts)) Option {
	return func(r *Reporter) {
		r.withheld, r.withheldCounts = withheld, counts
	}
}

// withhold passes over the windows that may have been reported before the store was restored, and notes which were not.
func (r *Reporter) withhold() {
	first, fromPeers := r.firstUnreported()
	if r.next != 0 && r.next < first {
		r.withheld(Withheld{First: r.next, Last: first - 1, Era: r.era, FromPeers: fromPeers})
		r.next, r.lastWriters = first, nil
	}
	if r.restores.MayRestore() {
		r.restores.Evidence.Loaded(max(r.next, first))
	}
}

// firstUnreported returns the first window that nobody reported before the store was restored, and whether peers know that. A window was not
// reported if it ended after the restore, which was before this instance learned of it, or if an earlier one was frozen in the present era.
func (r *Reporter) firstUnreported() (Window, bool) {
	if r.era == 0 || r.frozenInEra {
		return 0, false
	}
	first := r.counter.At(r.eraSince)
	if cleared, known := r.restores.Evidence.FirstUnreported(r.era); known && cleared < first {
		return cleared, true
	}
	return first, false
}

// isWithheld reports whether the store has no row of a window although it has rows of earlier and later ones.
func (r *Reporter) isWithheld(w Window) bool {
	if _, reported := r.reported[w]; reported || r.occupied[w] {
		return false
	}
	earlier := false
	for x := range r.reported {
		earlier = earlier || x < w
	}
	for _, f := range r.unreported {
		if f.row.Window == w {
			return false
		}
		earlier = earlier || f.row.Window < w
	}
	return earlier
}

// shareFrozen sends copies of the frozen windows that have not been sent yet.
func (r *Reporter) shareFrozen() {
	for i := range r.unreported {
		if f := &r.unreported[i]; !f.shared {
			r.share(f)
			f.shared = true
		}
	}
}

// mayReport reports whether a frozen window may be sent now. If not, it repeats the copies for which the report waits.
func (r *Reporter) mayReport(f *frozenWindow) bool {
	evidence := r.restores.Evidence
	if !r.restores.MayRestore() {
		return true
	}
	if !evidence.MayReport(f.row.Window) {
		evidence.Distribute(copyOf(&f.row), era.Of(int(f.revision)))
		return false
	}
	evidence.Reporting(f.row.Window)
	return true
}
