package main

import (
	"math/rand/v2"
	"time"

	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/piece"
	"cowslipshunt.example/shared/queue"
	"cowslipshunt.example/wire"
)

// Limits of an entry.
const (
	queueLimit   = 10 * time.Second
	wakeEvery    = 100 * time.Millisecond
	network      = time.Millisecond
	perEndpoint  = 6
	maxAttempts  = 4
	maxInQueue   = 4096
	outputBudget = 512
	keyTokens    = 256 // what a block of the entry's keys holds
)

// request is one turn on its way.
type request struct {
	conversation *conversation
	pieces       []pieceID
	known        endpoint.Prompt
	prompt       int
	output       int
	began        time.Time
	first        time.Time
	last         time.Time
	delivered    int
	attempts     int
	failed       []wire.EndpointId
	forwarded    bool
	ended        func()
}

func newRequest(c *conversation, output int, now time.Time) *request {
	r := &request{conversation: c, pieces: c.pieces(pieceTokens), prompt: c.prompt, output: output, began: now}
	r.known = endpoint.Prompt{Tokens: r.prompt, KeyTokens: keyTokens}
	for i := keyTokens/pieceTokens - 1; i < len(r.pieces); i += keyTokens / pieceTokens {
		r.known.Keys = append(r.known.Keys, piece.Key(r.pieces[i]))
	}
	return r
}

// service is what the request is charged.
func (r *request) service() float64 {
	return float64(r.prompt*promptPrice + r.output*outputPrice)
}

// grant is a slot that the queue gave.
type grant struct {
	request *request
	slot    *endpoint.Slot
}

// entry runs the real queue and directory.
type entry struct {
	fleet     *fleet
	domain    int
	rng       *rand.Rand
	directory *endpoint.Directory
	queue     *queue.Queue
	granted   []grant
	turn      int
}

func newEntry(f *fleet, domain int, rng *rand.Rand) *entry {
	return &entry{
		fleet:     f,
		domain:    domain,
		rng:       rng,
		directory: endpoint.NewDirectory(endpoint.WithLimits(func(wire.EndpointKindName) int { return perEndpoint })),
		queue:     queue.New(f.line.clock, queue.WithBounds(queue.Bounds{Total: maxInQueue, PerWorkspace: maxInQueue})),
	}
}

// accept takes a request in, or passes it on if the domain has no endpoint for it.
func (n *entry) accept(r *request) {
	if !endpoint.AnyUnpaused(n.directory.View().Model(model), endpoint.Need{}, n.fleet.line.now()) && !r.forwarded {
		r.forwarded = true
		n.fleet.line.after(network, func() { n.peer().accept(r) })
		return
	}
	n.join(r)
}

// peer draws an entry of another domain.
func (n *entry) peer() *entry {
	for {
		if p := n.fleet.entries[n.rng.IntN(len(n.fleet.entries))]; p.domain != n.domain {
			return p
		}
	}
}

func (n *entry) join(r *request) {
	name := n.fleet.variant.workspaceName(r.conversation.workspace)
	estimate := queue.Service(r.prompt*promptPrice + outputBudget*outputPrice)
	if r.attempts > 0 {
		estimate = 0
	}
	asked := queue.Request{Workspace: name, Estimate: estimate, Choose: func() *endpoint.Slot { return n.choose(r) }}
	if r.attempts == 0 && !n.fleet.variant.waits {
		asked.Within = queueLimit
	}
	t, err := n.queue.Join(asked)
	if err != nil {
		n.refuse(r)
		return
	}
	attempt := r.attempts
	n.start()
	n.fleet.line.after(queueLimit, func() {
		if r.attempts == attempt {
			n.queue.Leave(t)
			n.refuse(r)
		}
	})
}

// choose takes a slot, away from endpoints that failed the request if there are others.
func (n *entry) choose(r *request) *endpoint.Slot {
	list := n.directory.View().Model(model)
	now := n.fleet.line.now()
	need := endpoint.Need{Not: r.failed, Prompt: r.known}
	e := n.fleet.variant.choose(list, need, now, n.turn, n.rng)
	if e == nil && len(r.failed) > 0 {
		need.Not = nil
		e = n.fleet.variant.choose(list, need, now, n.turn, n.rng)
	}
	if e != nil {
		n.turn++
		n.granted = append(n.granted, grant{request: r, slot: e})
	}
	return e
}

func (n *entry) wake() {
	n.queue.Wake()
	n.start()
}

// start sends the requests that got a slot.
func (n *entry) start() {
	list := n.granted
	n.granted = nil
	for _, g := range list {
		n.send(g)
	}
}

func (n *entry) send(g grant) {
	r := g.request
	r.attempts++
	j := &job{pieces: r.pieces, prompt: r.prompt + r.delivered, output: r.output - r.delivered}
	j.token = func() {
		r.delivered++
		r.last = n.fleet.line.now()
		g.slot.Started()
		if r.delivered == 1 {
			r.first = r.last
		}
	}
	j.done = func(lost bool) { n.ended(g, j, lost) }
	e := n.fleet.engines[g.slot.State().Endpoint]
	n.fleet.line.after(network, func() { e.accept(j) })
}

// ended gives the slot back and ends the request or tries again.
func (n *entry) ended(g grant, j *job, lost bool) {
	g.slot.Release()
	if lost {
		n.retry(g)
	} else {
		n.finish(g.request, j)
	}
	n.wake()
}

func (n *entry) retry(g grant) {
	r := g.request
	g.slot.Failed(n.fleet.line.now())
	if r.attempts >= maxAttempts {
		n.refuse(r)
		return
	}
	r.failed = append(r.failed, g.slot.State().Endpoint)
	n.fleet.line.after(time.Duration(n.rng.Int64N(int64(maxPause))), func() { n.join(r) })
}

// maxPause is the longest pause before a retry.
const maxPause = 50 * time.Millisecond

func (n *entry) finish(r *request, j *job) {
	name := n.fleet.variant.workspaceName(r.conversation.workspace)
	n.queue.Charge(name, queue.Service((r.output-outputBudget)*outputPrice))
	n.fleet.prompt += r.prompt
	n.fleet.cached += j.cached
	o := outcome{workspace: r.conversation.workspace, service: r.service(), answered: true, first: r.first.Sub(r.began)}
	o.gap = r.last.Sub(r.first) / time.Duration(max(r.output-1, 1))
	n.fleet.outcomes = append(n.fleet.outcomes, o)
	r.ended()
}

func (n *entry) refuse(r *request) {
	o := outcome{workspace: r.conversation.workspace, service: r.service(), refused: true}
	o.waited = n.fleet.line.now().Sub(r.began)
	n.fleet.outcomes = append(n.fleet.outcomes, o)
	r.ended()
}
