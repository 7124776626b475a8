package roster

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// probeTimeout is for how long a probe without an answer holds back other requests. An endpoint that is still full rejects a probe at once.
const probeTimeout = time.Second

// maxAskedPauses bounds the answers that are kept for an incarnation that is listed later. A few of different lengths may overlap.
const maxAskedPauses = 8

// pauseNoticeStep is by how much a pause has to be prolonged to be news: the answers to a burst of requests ask for pauses that end within
// milliseconds of each other.
const pauseNoticeStep = 100 * time.Millisecond

// requestedPause is a pause that an endpoint has asked this instance for. Unlike a backoff it is not ended by answers to requests that were
// sent before its end. After its end a single request, the probe, is sent before the others.
type requestedPause struct {
	// until is the end of the pause in Unix nanoseconds; 0 if none was asked for or a probe has been answered since.
	until atomic.Int64
	// probeUntil is until when the last probe holds back other requests, in Unix nanoseconds; 0 while none does.
	probeUntil atomic.Int64

	mu sync.Mutex
	// events counts the answers that asked for a pause, and the probes; lastAsked and lastProbe are the numbers of the last of each.
	events, lastAsked, lastProbe int64
	// asked are the answers that asked for pauses since the last accepted probe, without those that a later one has outlasted.
	asked []askedPause
}

// askedPause is an answer that asked for a pause: when it came and when the pause ends, in Unix nanoseconds.
type askedPause struct {
	at, end int64
}

// Probe is a request to an endpoint after a pause that the endpoint asked for. The zero Probe is a request that is none.
type Probe struct {
	pause  *requestedPause
	number int64
}

// open reports whether a request may be sent now.
func (p *requestedPause) open(now time.Time) bool {
	until := p.until.Load()
	return until == 0 || now.UnixNano() >= max(until, p.probeUntil.Load())
}

// ask records that an answer asked for a pause from now on, which never shortens an earlier one. It returns the end of the pause and whether
// that is news.
func (p *requestedPause) ask(now time.Time, d time.Duration) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events++
	p.lastAsked = p.events
	p.probeUntil.Store(0)
	previous, until := p.until.Load(), now.Add(d).UnixNano()
	p.keep(askedPause{at: now.UnixNano(), end: until})
	if until <= previous {
		return time.Unix(0, previous), false
	}
	p.until.Store(until)
	return time.Unix(0, until), now.UnixNano() >= previous || until-previous >= int64(pauseNoticeStep)
}

// keep remembers an answer that asked for a pause.
func (p *requestedPause) keep(a askedPause) {
	p.asked = slices.DeleteFunc(p.asked, func(x askedPause) bool { return x.at <= a.at && x.end <= a.end })
	p.asked = append(p.asked, a)
	if len(p.asked) > maxAskedPauses {
		p.asked = slices.Delete(p.asked, 0, len(p.asked)-maxAskedPauses)
	}
}

// inherit takes over the pauses that an earlier incarnation is believed to have asked for after the start of this one, in Unix milliseconds:
// this one has asked for them, before it was listed.
func (p *requestedPause) inherit(earlier *requestedPause, born int64) {
	earlier.mu.Lock()
	asked := slices.Clone(earlier.asked)
	earlier.mu.Unlock()
	for _, a := range asked {
		if at := time.Unix(0, a.at); at.UnixMilli() >= born {
			p.ask(at, time.Duration(a.end-a.at))
		}
	}
}

// admit reports whether a request may be sent now, and makes it the probe if it is the first after a pause.
func (p *requestedPause) admit(now time.Time) (Probe, bool) {
	if p.until.Load() == 0 {
		return Probe{}, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open(now) {
		return Probe{}, false
	}
	if p.until.Load() == 0 {
		return Probe{}, true
	}
	p.events++
	p.lastProbe = p.events
	p.probeUntil.Store(now.Add(probeTimeout).UnixNano())
	return Probe{pause: p, number: p.events}, true
}

// End records how a probe ended: accepted is set if the endpoint took the request. Other requests then follow; otherwise the next one is a
// probe again. It reports whether the endpoint gets requests again. It does nothing if the endpoint has asked for a pause since the probe
// was sent, or if the request was no probe.
func (p Probe) End(accepted bool) bool {
	if p.pause == nil {
		return false
	}
	return p.pause.endProbe(p.number, accepted)
}

func (p *requestedPause) endProbe(number int64, accepted bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if number < p.lastAsked || p.until.Load() == 0 {
		return false
	}
	if accepted {
		p.until.Store(0)
		p.asked = nil
	}
	if accepted || number == p.lastProbe {
		p.probeUntil.Store(0)
	}
	return accepted
}

// MarkPauseRequested records that the endpoint asked this instance in an answer to send nothing for d from now on. It returns the end of the
// pause, which may be later, and whether it is news.
func (e *Endpoint) MarkPauseRequested(now time.Time, d time.Duration) (until time.Time, news bool) {
	return e.restrictions.pause.ask(now, d)
}

// PauseRequested reports whether a pause that the endpoint asked for lasts, and until when.
func (e *Endpoint) PauseRequested(now time.Time) (until time.Time, lasts bool) {
	end := e.restrictions.pause.until.Load()
	return time.Unix(0, end), now.UnixNano() < end
}

// Admit reports whether a request may be written to the endpoint now, as far as the endpoint has asked for a pause. The caller has to end
// the probe once there is an answer or an error.
func (e *Endpoint) Admit(now time.Time) (Probe, bool) {
	return e.restrictions.pause.admit(now)
}

// MarkRetryAfterMalformed records that the endpoint asked for a pause in a form that has no meaning, and reports whether that is new.
func (e *Endpoint) MarkRetryAfterMalformed() bool {
	return !e.restrictions.malformed.Swap(true)
}
