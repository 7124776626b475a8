package quota_test

import (
	"math/rand/v2"
	"time"

	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
)

// prompts draws the costs of prompts of three very unequal lengths.
func prompts(r *rand.Rand) float64 {
	switch n := r.IntN(10); {
	case n < 5:
		return 1460
	case n < 8:
		return 9200
	case n < 9:
		return 17000
	}
	return 17000 + r.Float64()*76000
}

// worst returns the highest cost that a workspace ran within one window that begins after from.
func (f *fleet) worst(w wire.WorkspaceName, from time.Time) float64 {
	worst, sum, first := 0.0, 0.0, 0
	for i, r := range f.runs {
		if r.workspace == w {
			sum += r.cost
		}
		for ; r.at.Sub(f.runs[first].at) > window || f.runs[first].at.Before(from); first++ {
			if first == i {
				break
			}
			if f.runs[first].workspace == w {
				sum -= f.runs[first].cost
			}
		}
		worst = max(worst, sum)
	}
	return worst
}

func limitOf(q route.Quota) float64 {
	return q.Rate*window.Seconds() + q.Burst
}

// checkBound checks the platform's rule.
func (f *fleet) checkBound(w wire.WorkspaceName, q route.Quota, from time.Time) {
	f.t.Helper()
	f.requests.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	bound := limitOf(q) * (1 + over)
	if q.Unit == route.Tokens {
		bound += slack
	}
	got := f.worst(w, from)
	f.t.Logf("workspace %s: at most %.0f in a window, %.1f%% of rate x window + burst, bound %.0f", w, got, 100*got/limitOf(q), bound)
	if got > bound {
		f.t.Errorf("workspace %s ran %.0f within %v, the bound is %.0f", w, got, window, bound)
	}
}

// costOf returns the cost of the requests of a workspace since from.
func costOf(requests []run, w wire.WorkspaceName, from time.Time) float64 {
	sum := 0.0
	for _, r := range requests {
		if r.workspace == w && !r.at.Before(from) {
			sum += r.cost
		}
	}
	return sum
}

// checkWaits checks that no request waited for other instances for longer than 40 ms.
func (f *fleet) checkWaits() {
	f.t.Helper()
	for _, d := range f.waits {
		if d > 40*time.Millisecond {
			f.t.Errorf("a request waited %v", d)
			return
		}
	}
}
