package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cowslipshunt.example/wire"
)

// entries is how many entries each domain runs.
const entries = 3

// moves is the share of turns that come in at another entry than the turn before.
const moves = 0.2

const model wire.ModelName = "model"

// fleet is one run of a trace: fake engines behind the real queues and directories of entries.
type fleet struct {
	line    *timeline
	rng     *rand.Rand
	trace   trace
	variant variant
	engines map[wire.EndpointId]*engine
	states  [domains][]wire.EndpointState
	entries []*entry

	conversations uint64
	sequence      int
	begun         int
	outcomes      []outcome
	prompt        int
	cached        int
}

func newFleet(tr trace, v variant, seed uint64) *fleet {
	f := &fleet{line: newTimeline(), rng: rand.New(rand.NewPCG(seed, 0)), trace: tr, variant: v, engines: map[wire.EndpointId]*engine{}}
	f.conversations = uint64(len(even))
	for i := range tr.engines {
		id := wire.EndpointId(fmt.Sprintf("engine-%d", i))
		f.engines[id] = newEngine(id, f.line)
		d := i % domains
		f.states[d] = append(f.states[d], wire.EndpointState{Endpoint: id, Model: model, Phase: wire.EndpointPhaseReady, Cheap: d == domains-1})
	}
	for d := range domains {
		for i := range entries {
			f.entries = append(f.entries, newEntry(f, d, rand.New(rand.NewPCG(seed, uint64(1+d*entries+i)))))
		}
	}
	for d := range domains {
		f.list(d, f.states[d])
	}
	return f
}

// list gives a domain's entries a new list of endpoints.
func (f *fleet) list(domain int, states []wire.EndpointState) {
	f.sequence++
	for _, n := range f.entries {
		if n.domain == domain {
			n.directory.Apply(wire.EndpointStates{Epoch: 1, Sequence: f.sequence, Endpoints: states})
			n.wake()
		}
	}
}

// run plays the trace and lets what is inside come to an end.
func (f *fleet) run() measures {
	f.arrive()
	f.wakeAll()
	if f.trace.lostAt > 0 {
		f.lose(domains - 1)
	}
	f.line.run(f.trace.length + queueLimit + time.Minute)
	return summarize(f.outcomes, f.prompt, f.cached)
}

// wakeAll does what the set of queues does in an entry.
func (f *fleet) wakeAll() {
	for _, n := range f.entries {
		n.wake()
	}
	f.line.after(wakeEvery, f.wakeAll)
}

// lose takes a domain's engines away, tells its entries late, and brings the engines back.
func (f *fleet) lose(domain int) {
	each := func(do func(*engine)) func() {
		return func() {
			for _, state := range f.states[domain] {
				do(f.engines[state.Endpoint])
			}
		}
	}
	f.line.after(f.trace.lostAt, each((*engine).vanish))
	f.line.after(f.trace.lostAt+f.trace.noticeLag, func() { f.list(domain, nil) })
	f.line.after(f.trace.backAt, each((*engine).comeBack))
	f.line.after(f.trace.backAt, func() { f.list(domain, f.states[domain]) })
}

// arrive starts conversations at the trace's rates, in small slices of time.
func (f *fleet) arrive() {
	at := f.line.now().Sub(f.line.start)
	if at >= f.trace.length {
		return
	}
	q, d := f.trace.rate(at)
	f.begin(quotes, q)
	f.begin(drafts, d)
	f.line.after(arriveEvery, f.arrive)
}

// arriveEvery is the slice of time in which at most one conversation of a mix begins.
const arriveEvery = 10 * time.Millisecond

func (f *fleet) begin(m mix, rate float64) {
	if f.rng.Float64() >= rate*arriveEvery.Seconds() {
		return
	}
	f.conversations++
	rng := rand.New(rand.NewPCG(f.rng.Uint64(), 0))
	c := newConversation(f.conversations, f.drawWorkspace(), m, rng)
	f.turn(c, f.entries[rng.IntN(len(f.entries))])
}

func (f *fleet) drawWorkspace() int {
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

// turn sends a conversation's next request.
func (f *fleet) turn(c *conversation, n *entry) {
	output := c.mix.output.draw(c.rng)
	added := c.mix.added.draw(c.rng)
	think := time.Duration(c.rng.ExpFloat64() * float64(thinkMean))
	next := n
	if c.rng.Float64() < moves {
		next = f.entries[c.rng.IntN(len(f.entries))]
	}
	f.begun++
	r := newRequest(c, output, f.line.now())
	r.ended = func() {
		c.turns--
		c.prompt += output + added
		if c.turns > 0 && f.line.now().Sub(f.line.start) < f.trace.length {
			f.line.after(think, func() { f.turn(c, next) })
		}
	}
	n.accept(r)
}
