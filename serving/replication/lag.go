// Package replication keeps the copies that instances have of a table of the store up to date: a few readers in each failure domain follow
// the store and pass changes on, and each instance notices when it is behind.
package replication

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Version is a version of the store, which rises with each transaction.
type Version int

// Lag compares the versions of one table that this instance and its peers have applied. It is safe for concurrent use.
type Lag struct {
	clock clockwork.Clock
	// tolerance returns how long this instance may be behind before onBehind is called.
	tolerance func() time.Duration
	// onBehind is called with the version that a peer has applied.
	onBehind func(peer Version)

	mu sync.Mutex
	// synced is the version up to which this instance has applied all changes, changed the version of the last change among them.
	synced, changed Version
	// claimed is the highest version that a peer claims to have applied.
	claimed Version
	// wrong is the version from which claims are ignored, as the store had not reached it when a peer claimed it; 0 if there is none.
	wrong Version
	// timer runs while this instance is behind.
	timer clockwork.Timer
}

// NewLag returns a Lag that calls onBehind once this instance has been behind for longer than the tolerance, in a goroutine of its
// own, and again after each further tolerance until it has caught up.
func NewLag(clock clockwork.Clock, tolerance func() time.Duration, onBehind func(peer Version)) *Lag {
	return &Lag{clock: clock, tolerance: tolerance, onBehind: onBehind}
}

// Applied records that this instance has applied all changes up to version synced, the last of which has version changed. Zero means
// that there was no change.
func (l *Lag) Applied(synced, changed Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.synced = max(l.synced, synced)
	l.changed = max(l.changed, changed)
	if l.synced >= l.wrong {
		l.wrong = 0
	}
	l.stopIfCaughtUp()
}

// Reread records that this instance has read the whole table at a version, after peers had claimed to have applied the version claimed.
// The store's answers are linearizable, so a claim of a higher version is wrong, and Reread returns false. Claims of that version and
// higher ones are ignored until this instance has reached it; lower ones still count.
func (l *Lag) Reread(version, changed, claimed Version) bool {
	if claimed <= version {
		l.Applied(version, changed)
		return true
	}
	l.mu.Lock()
	l.wrong, l.claimed = claimed, 0
	l.mu.Unlock()
	l.Applied(version, changed)
	return false
}

// Withdraw records that the versions that were recorded as applied are wrong, and that the copy is at the given ones.
func (l *Lag) Withdraw(synced, changed Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.synced, l.changed = synced, changed
}

// Claimed returns the highest version that a peer claims to have applied.
func (l *Lag) Claimed() Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.claimed
}

// Changed returns the version of the last change that this instance has applied, which it reports to its peers.
func (l *Lag) Changed() Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// PeerApplied records the version of the last change that a peer has applied.
func (l *Lag) PeerApplied(changed Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wrong > 0 && changed >= l.wrong {
		return
	}
	l.claimed = max(l.claimed, changed)
	if l.claimed > l.synced && l.timer == nil {
		l.timer = l.clock.AfterFunc(l.tolerance(), l.check)
	}
}

// check calls onBehind if this instance is still behind.
func (l *Lag) check() {
	l.mu.Lock()
	behind := l.claimed > l.synced
	claimed := l.claimed
	l.timer = nil
	if behind {
		l.timer = l.clock.AfterFunc(l.tolerance(), l.check)
	}
	l.mu.Unlock()
	if behind {
		l.onBehind(claimed)
	}
}

// stopIfCaughtUp stops the timer unless this instance is behind.
func (l *Lag) stopIfCaughtUp() {
	if l.claimed <= l.synced && l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
}
