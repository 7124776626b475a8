package follower

import (
	"sync"
	"time"

	"cowslipshunt.example/wire"
)

// requestLimiter limits the requests for a document's text. All peers announce a new version at nearly the same time, and its
// text is needed from only one of them.
type requestLimiter struct {
	mu      sync.Mutex
	version wire.DocumentVersion // of the last request
	at      time.Time            // of the last request
}

// allow reports whether to request a version now, and records the request if so. It allows a version that is newer than the last
// requested one, and any version once the last request is at least requestRetryDelay old.
func (l *requestLimiter) allow(version wire.DocumentVersion, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version <= l.version && now.Sub(l.at) < requestRetryDelay {
		return false
	}
	l.version, l.at = version, now
	return true
}
