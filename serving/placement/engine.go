package placement

import (
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// Speeds and costs of engines, from the users' sheets and the platform's pages.
const (
	// prefillRate is how many tokens a prefill engine reads in a millisecond.
	prefillRate = 51.1
	// decodeRate is the same of an engine that decodes: half the speed.
	decodeRate = prefillRate / 2
	// affinity is what the first engine in the rendezvous order of the shared parts may cost more, in milliseconds: it is the one
	// that the other instances choose as well.
	affinity = 300.0
	// farTime is what the way to another failure domain costs, in milliseconds.
	farTime = 10.0
	// stepTime is what one more request in a batch costs the others, in milliseconds.
	stepTime = 1.0
)

// Reader returns the engine that would have read a prompt first. It goes by the tokens that wait there, and by what is left to
// read where parts of the prompt are kept. It returns nil if nothing suits.
func Reader(suited []*roster.Endpoint, p *Prompt, need Need, now time.Time) *roster.Endpoint {
	return quickest(suited, p, need.Near, prefillRate, now)
}

// Decoder returns the engine that would generate first if it has to read the prompt itself, or nil if nothing suits.
func Decoder(suited []*roster.Endpoint, p *Prompt, need Need, now time.Time) *roster.Endpoint {
	return quickest(suited, p, need.Near, decodeRate, now)
}

// ReadTime is the time until an engine has read a prompt after all that waits there.
func ReadTime(e *roster.Endpoint, p *Prompt, now time.Time) time.Duration {
	rate := prefillRate
	if e.Entry().Stage == roster.Decode {
		rate = decodeRate
	}
	return time.Duration(readMillis(e, p, rate, now) * float64(time.Millisecond))
}

func readMillis(e *roster.Endpoint, p *Prompt, rate float64, now time.Time) float64 {
	return float64(e.PrefillLoad()+p.Unread(e.Kept(p.IDs, now)))/rate + stepTime*float64(e.InFlight())
}

func quickest(suited []*roster.Endpoint, p *Prompt, near wire.DomainName, rate float64, now time.Time) *roster.Endpoint {
	return least(suited, uint64(p.Anchor()), func(e *roster.Endpoint, first bool) float64 {
		cost := readMillis(e, p, rate, now)
		if !first {
			cost += affinity
		}
		if e.Entry().Domain != near {
			cost += farTime
		}
		return cost
	})
}

// Taker returns the engine that generates from a KV cache which a prefill engine of a failure domain holds: the least busy one
// there, or elsewhere if it has none.
func Taker(suited []*roster.Endpoint, p *Prompt, domain wire.DomainName) *roster.Endpoint {
	return least(suited, uint64(p.Anchor()), func(e *roster.Endpoint, _ bool) float64 {
		cost := float64(e.PrefillLoad())/decodeRate + stepTime*float64(e.InFlight())
		if e.Entry().Domain != domain {
			cost += farTime
		}
		return cost
	})
}
