package follower

import (
	"sync"
	"time"

	"cowslipshunt.example/wire"
)

// asked is the newest document that peers were asked for. Every peer announces a new one at nearly the same time, and one
// whole text is enough.
type asked struct {
	mu      sync.Mutex
	version wire.DocumentVersion
	at      time.Time
}

// first tells whether to ask for a version now: it is newer than the one asked for, or that one has not come in time.
func (a *asked) first(version wire.DocumentVersion, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version <= a.version && now.Sub(a.at) < askAgain {
		return false
	}
	a.version, a.at = version, now
	return true
}
