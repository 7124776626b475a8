package main

import (
	"math/rand/v2"
	"time"

	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/piece"
	"cowslipshunt.example/shared/queue"
	"cowslipshunt.example/wire"
)

// Limits and times of a simulated entry.
const (
	queueLimit     = 10 * time.Second
	wakeInterval   = 100 * time.Millisecond
	networkDelay   = time.Millisecond
	maxPerEndpoint = 6
	maxAttempts    = 4
	maxInQueue     = 4096
	outputBudget   = 512
	keyTokens      = 256 // tokens covered by each of the prefix keys that an entry uses for placement
)

// request is one turn of a conversation, from its arrival at an entry to its outcome.
type request struct {
	conversation *conversation
	pieces       []pieceID
	placement    endpoint.Prompt
	prompt       int
	output       int
	began        time.Time
	first        time.Time
	last         time.Time
	delivered    int
	attempts     int
	failed       []wire.EndpointId
	forwarded    bool
	onEnd        func()
}

func newRequest(c *conversation, output int, now time.Time) *request {
	r := &request{conversation: c, pieces: c.pieces(pieceTokens), prompt: c.prompt, output: output, began: now}
	r.placement = endpoint.Prompt{Tokens: r.prompt, KeyTokens: keyTokens}
	for i := keyTokens/pieceTokens - 1; i < len(r.pieces); i += keyTokens / pieceTokens {
		r.placement.Keys = append(r.placement.Keys, piece.Key(r.pieces[i]))
	}
	return r
}

// service returns the service that the request is charged.
func (r *request) service() float64 {
	return float64(r.prompt*promptPrice + r.output*outputPrice)
}

// grant is a slot that the queue has reserved for a request that is not yet sent.
type grant struct {
	request *request
	slot    *endpoint.Slot
}

// entry simulates an entry with the real queue and endpoint directory.
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
		directory: endpoint.NewDirectory(endpoint.WithLimits(func(wire.EndpointKindName) int { return maxPerEndpoint })),
		queue:     queue.New(f.timeline.clock, queue.WithBounds(queue.Bounds{Total: maxInQueue, PerWorkspace: maxInQueue})),
	}
}

// accept queues a request, or forwards it once to an entry of another domain if its own has no available endpoint.
func (n *entry) accept(r *request) {
	if !endpoint.Unpaused(n.directory.View().Model(model), endpoint.Need{}, n.fleet.timeline.now()) && !r.forwarded {
		r.forwarded = true
		n.fleet.timeline.after(networkDelay, func() { n.peer().accept(r) })
		return
	}
	n.enqueue(r)
}

// peer returns a random entry of another domain.
func (n *entry) peer() *entry {
	for {
		if p := n.fleet.entries[n.rng.IntN(len(n.fleet.entries))]; p.domain != n.domain {
			return p
		}
	}
}

func (n *entry) enqueue(r *request) {
	name := n.fleet.variant.workspaceName(r.conversation.workspace)
	estimate := queue.Service(r.prompt*promptPrice + outputBudget*outputPrice)
	if r.attempts > 0 {
		estimate = 0
	}
	req := queue.Request{Workspace: name, Estimate: estimate, Choose: func() *endpoint.Slot { return n.choose(r) }}
	if r.attempts == 0 && !n.fleet.variant.noEarlyRefusal {
		req.Within = queueLimit
	}
	t, err := n.queue.Join(req)
	if err != nil {
		n.refuse(r)
		return
	}
	attempt := r.attempts
	n.start()
	n.fleet.timeline.after(queueLimit, func() {
		if r.attempts == attempt {
			n.queue.Leave(t)
			n.refuse(r)
		}
	})
}

// choose reserves a slot for a request. It uses an endpoint that already failed the request only if no other has a slot.
func (n *entry) choose(r *request) *endpoint.Slot {
	list := n.directory.View().Model(model)
	now := n.fleet.timeline.now()
	need := endpoint.Need{Not: r.failed, Prompt: r.placement}
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

// start sends the requests to which the queue has granted a slot.
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
		r.last = n.fleet.timeline.now()
		g.slot.Started()
		if r.delivered == 1 {
			r.first = r.last
		}
	}
	j.done = func(lost bool) { n.endAttempt(g, j, lost) }
	e := n.fleet.engines[g.slot.State().Endpoint]
	n.fleet.timeline.after(networkDelay, func() { e.accept(j) })
}

// endAttempt releases the slot, then retries the request if its engine was lost, or completes it.
func (n *entry) endAttempt(g grant, j *job, lost bool) {
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
	g.slot.Failed(n.fleet.timeline.now())
	if r.attempts >= maxAttempts {
		n.refuse(r)
		return
	}
	r.failed = append(r.failed, g.slot.State().Endpoint)
	n.fleet.timeline.after(time.Duration(n.rng.Int64N(int64(maxRetryPause))), func() { n.enqueue(r) })
}

// maxRetryPause bounds the random pause before a retry.
const maxRetryPause = 50 * time.Millisecond

func (n *entry) finish(r *request, j *job) {
	name := n.fleet.variant.workspaceName(r.conversation.workspace)
	n.queue.Charge(name, queue.Service((r.output-outputBudget)*outputPrice))
	n.fleet.promptTokens += r.prompt
	n.fleet.cachedTokens += j.cached
	o := outcome{workspace: r.conversation.workspace, service: r.service(), answered: true, first: r.first.Sub(r.began)}
	o.gap = r.last.Sub(r.first) / time.Duration(max(r.output-1, 1))
	n.fleet.outcomes = append(n.fleet.outcomes, o)
	r.onEnd()
}

func (n *entry) refuse(r *request) {
	o := outcome{workspace: r.conversation.workspace, service: r.service(), refused: true}
	o.waited = n.fleet.timeline.now().Sub(r.began)
	n.fleet.outcomes = append(n.fleet.outcomes, o)
	r.onEnd()
}
