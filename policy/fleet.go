package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cowslipshunt.example/wire"
)

// entriesPerDomain is how many entries each failure domain runs.
const entriesPerDomain = 3

// entryChangeShare is the probability that a conversation's next turn is sent to a randomly chosen entry.
const entryChangeShare = 0.2

const model wire.ModelName = "model"

// fleet simulates one run of a trace: fake engines behind entries that use the product's queue and endpoint directory.
type fleet struct {
	timeline *timeline
	rng      *rand.Rand
	trace    trace
	variant  variant
	engines  map[wire.EndpointId]*engine
	states   [domains][]wire.EndpointState
	entries  []*entry

	lastConversation uint64
	sequence         int
	started          int
	outcomes         []outcome
	promptTokens     int
	cachedTokens     int
}

func newFleet(tr trace, v variant, seed uint64) *fleet {
	f := &fleet{timeline: newTimeline(), rng: rand.New(rand.NewPCG(seed, 0)), trace: tr, variant: v, engines: map[wire.EndpointId]*engine{}}
	f.lastConversation = uint64(len(even))
	for i := range tr.engines {
		id := wire.EndpointId(fmt.Sprintf("engine-%d", i))
		f.engines[id] = newEngine(id, f.timeline)
		d := i % domains
		f.states[d] = append(f.states[d], wire.EndpointState{Endpoint: id, Model: model, Phase: wire.EndpointPhaseReady, Cheap: d == domains-1})
	}
	for d := range domains {
		for i := range entriesPerDomain {
			f.entries = append(f.entries, newEntry(f, d, rand.New(rand.NewPCG(seed, uint64(1+d*entriesPerDomain+i)))))
		}
	}
	for d := range domains {
		f.setEndpoints(d, f.states[d])
	}
	return f
}

// setEndpoints replaces the endpoint list of all entries of a domain.
func (f *fleet) setEndpoints(domain int, states []wire.EndpointState) {
	f.sequence++
	for _, e := range f.entries {
		if e.domain == domain {
			e.directory.Apply(wire.EndpointStates{Epoch: 1, Sequence: f.sequence, Endpoints: states})
			e.wake()
		}
	}
}

// run plays the trace, then gives the remaining requests time to end: the queue's limit and a minute.
func (f *fleet) run() measures {
	f.arrivals()
	f.wakeAll()
	if f.trace.lossAt > 0 {
		f.scheduleLoss(domains - 1)
	}
	f.timeline.run(f.trace.length + queueLimit + time.Minute)
	return summarize(f.outcomes, f.promptTokens, f.cachedTokens)
}

// wakeAll wakes every queue periodically, as an entry's set of queues does.
func (f *fleet) wakeAll() {
	for _, e := range f.entries {
		e.wake()
	}
	f.timeline.after(wakeInterval, f.wakeAll)
}

// scheduleLoss crashes a domain's engines at the trace's lossAt, removes them from the entries' lists noticeLag later, and
// restarts and lists them again at recoveryAt.
func (f *fleet) scheduleLoss(domain int) {
	forEach := func(do func(*engine)) func() {
		return func() {
			for _, state := range f.states[domain] {
				do(f.engines[state.Endpoint])
			}
		}
	}
	f.timeline.after(f.trace.lossAt, forEach((*engine).crash))
	f.timeline.after(f.trace.lossAt+f.trace.noticeLag, func() { f.setEndpoints(domain, nil) })
	f.timeline.after(f.trace.recoveryAt, forEach((*engine).restart))
	f.timeline.after(f.trace.recoveryAt, func() { f.setEndpoints(domain, f.states[domain]) })
}

// arrivals starts conversations at the trace's rates and schedules itself for the next arrival interval.
func (f *fleet) arrivals() {
	at := f.timeline.now().Sub(f.timeline.start)
	if at >= f.trace.length {
		return
	}
	q, d := f.trace.rate(at)
	f.maybeStart(quotes, q)
	f.maybeStart(drafts, d)
	f.timeline.after(arrivalInterval, f.arrivals)
}

// arrivalInterval is the time step of arrivals; at most one conversation of each mix begins per step.
const arrivalInterval = 10 * time.Millisecond

func (f *fleet) maybeStart(m mix, rate float64) {
	if f.rng.Float64() >= rate*arrivalInterval.Seconds() {
		return
	}
	f.lastConversation++
	rng := rand.New(rand.NewPCG(f.rng.Uint64(), 0))
	c := newConversation(f.lastConversation, f.randomWorkspace(), m, rng)
	f.sendTurn(c, f.entries[rng.IntN(len(f.entries))])
}

func (f *fleet) randomWorkspace() int {
	total := 0.0
	for _, share := range f.trace.shares {
		total += share
	}
	at := f.rng.Float64() * total
	for i, share := range f.trace.shares {
		if at -= share; at < 0 {
			return i
		}
	}
	return 0
}

// sendTurn sends a conversation's next request to an entry, and schedules the turn after it when that request ends.
func (f *fleet) sendTurn(c *conversation, e *entry) {
	output := c.mix.output.sample(c.rng)
	added := c.mix.added.sample(c.rng)
	think := time.Duration(c.rng.ExpFloat64() * float64(thinkMean))
	next := e
	if c.rng.Float64() < entryChangeShare {
		next = f.entries[c.rng.IntN(len(f.entries))]
	}
	f.started++
	r := newRequest(c, output, f.timeline.now())
	r.onEnd = func() {
		c.turnsLeft--
		c.promptTokens += output + added
		if c.turnsLeft > 0 && f.timeline.now().Sub(f.timeline.start) < f.trace.length {
			f.timeline.after(think, func() { f.sendTurn(c, next) })
		}
	}
	e.accept(r)
}
