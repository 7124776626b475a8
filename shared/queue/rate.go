package queue

import "time"

// What a workspace's rate is measured over.
const (
	rateWindow  = 10 * time.Second
	rateLeast   = time.Second
	leastGrants = 2
)

// rate measures the service that a workspace receives while requests of it wait. What is older than about a window fades.
type rate struct {
	at     time.Time
	amount Service
	busy   time.Duration
	grants float64
}

// pass counts the time up to now, in which requests waited or not. It fades before it counts, when the service of the time
// before is counted too.
func (r *rate) pass(now time.Time, waited bool) {
	if r.busy > rateWindow {
		r.busy /= 2
		r.amount /= 2
		r.grants /= 2
	}
	if waited && !r.at.IsZero() {
		r.busy += max(now.Sub(r.at), 0)
	}
	r.at = now
}

// grant counts service given to a request that waited.
func (r *rate) grant(amount Service) {
	r.amount += amount
	r.grants++
}

// wait returns how long an amount of service takes, or false if too little was seen to tell.
func (r *rate) wait(amount Service) (time.Duration, bool) {
	if r.busy < rateLeast || r.grants < leastGrants || r.amount <= 0 {
		return 0, false
	}
	seconds := float64(amount) / float64(r.amount) * r.busy.Seconds()
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second)), true
}

// maxWait bounds a computed wait.
const maxWait = time.Hour
