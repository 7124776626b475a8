package main

import (
	"math/rand/v2"
	"time"

	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/promptblock"
	"cowslipshunt.example/shared/queue"
	"cowslipshunt.example/wire"
)

// Limits and times of a simulated entry. outputBudget is the estimate of output tokens with which a request is queued.
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
	blocks       []blockID
	placement    endpoint.Prompt
	promptTokens int
	outputTokens int
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
	r := &request{conversation: c, blocks: c.blocks(blockTokens), promptTokens: c.promptTokens, outputTokens: output, began: now}
	r.placement = endpoint.Prompt{Tokens: r.promptTokens, KeyTokens: keyTokens}
	for i := keyTokens/blockTokens - 1; i < len(r.blocks); i += keyTokens / blockTokens {
		r.placement.Keys = append(r.placement.Keys, promptblock.Key(r.blocks[i]))
	}
	return r
}

// service returns the service that the request is charged.
func (r *request) service() float64 {
	return float64(r.promptTokens*promptPrice + r.outputTokens*outputPrice)
}

// grant is a slot that the queue has reserved for a request that is not yet sent.
type grant struct {
	request *request
	slot    *endpoint.Slot
}

// entry simulates an entry with the queue and the endpoint directory of the product.
type entry struct {
	fleet        *fleet
	domain       int
	rng          *rand.Rand
	directory    *endpoint.Directory
	queue        *queue.Queue
	granted      []grant
	slotsGranted int
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

// accept queues a request, or forwards it once to an entry of another domain if its own domain has no endpoint, or only paused ones.
func (e *entry) accept(r *request) {
	if !endpoint.AnyUnpaused(e.directory.View().Model(model), endpoint.Need{}, e.fleet.timeline.now()) && !r.forwarded {
		r.forwarded = true
		e.fleet.timeline.after(networkDelay, func() { e.peer().accept(r) })
		return
	}
	e.enqueue(r)
}

// peer returns a random entry of another domain.
func (e *entry) peer() *entry {
	for {
		if p := e.fleet.entries[e.rng.IntN(len(e.fleet.entries))]; p.domain != e.domain {
			return p
		}
	}
}

func (e *entry) enqueue(r *request) {
	name := e.fleet.variant.workspaceName(r.conversation.workspace)
	estimate := queue.Service(r.promptTokens*promptPrice + outputBudget*outputPrice)
	if r.attempts > 0 {
		estimate = 0
	}
	req := queue.Request{Workspace: name, Estimate: estimate, Choose: func() *endpoint.Slot { return e.choose(r) }}
	if r.attempts == 0 && !e.fleet.variant.noEarlyRefusal {
		req.MaxWait = queueLimit
	}
	t, err := e.queue.Join(req)
	if err != nil {
		e.refuse(r)
		return
	}
	attempt := r.attempts
	e.start()
	e.fleet.timeline.after(queueLimit, func() {
		if r.attempts == attempt {
			e.queue.Leave(t)
			e.refuse(r)
		}
	})
}

// choose reserves a slot for a request. It uses an endpoint that already failed the request only if no other has a slot.
func (e *entry) choose(r *request) *endpoint.Slot {
	list := e.directory.View().Model(model)
	now := e.fleet.timeline.now()
	need := endpoint.Need{Excluded: r.failed, Prompt: r.placement}
	slot := e.fleet.variant.choose(list, need, now, e.slotsGranted, e.rng)
	if slot == nil && len(r.failed) > 0 {
		need.Excluded = nil
		slot = e.fleet.variant.choose(list, need, now, e.slotsGranted, e.rng)
	}
	if slot != nil {
		e.slotsGranted++
		e.granted = append(e.granted, grant{request: r, slot: slot})
	}
	return slot
}

func (e *entry) wake() {
	e.queue.Wake()
	e.start()
}

// start sends the requests to which the queue has granted a slot.
func (e *entry) start() {
	list := e.granted
	e.granted = nil
	for _, g := range list {
		e.send(g)
	}
}

func (e *entry) send(g grant) {
	r := g.request
	r.attempts++
	j := &job{blocks: r.blocks, promptTokens: r.promptTokens + r.delivered, outputTokens: r.outputTokens - r.delivered}
	j.token = func() {
		r.delivered++
		r.last = e.fleet.timeline.now()
		g.slot.RecordStart()
		if r.delivered == 1 {
			r.first = r.last
		}
	}
	j.done = func(lost bool) { e.endAttempt(g, j, lost) }
	eng := e.fleet.engines[g.slot.State().Endpoint]
	e.fleet.timeline.after(networkDelay, func() { eng.accept(j) })
}

// endAttempt releases the slot, then retries the request if its engine was lost, or completes it.
func (e *entry) endAttempt(g grant, j *job, lost bool) {
	g.slot.Release()
	if lost {
		e.retry(g)
	} else {
		e.finish(g.request, j)
	}
	e.wake()
}

func (e *entry) retry(g grant) {
	r := g.request
	g.slot.RecordFailure(e.fleet.timeline.now())
	if r.attempts >= maxAttempts {
		e.refuse(r)
		return
	}
	r.failed = append(r.failed, g.slot.State().Endpoint)
	e.fleet.timeline.after(time.Duration(e.rng.Int64N(int64(maxRetryPause))), func() { e.enqueue(r) })
}

// maxRetryPause bounds the random pause before a retry.
const maxRetryPause = 50 * time.Millisecond

func (e *entry) finish(r *request, j *job) {
	name := e.fleet.variant.workspaceName(r.conversation.workspace)
	e.queue.Charge(name, queue.Service((r.outputTokens-outputBudget)*outputPrice))
	e.fleet.promptTokens += r.promptTokens
	e.fleet.cachedTokens += j.cachedTokens
	o := outcome{workspace: r.conversation.workspace, service: r.service(), answered: true, first: r.first.Sub(r.began)}
	o.gap = r.last.Sub(r.first) / time.Duration(max(r.outputTokens-1, 1))
	e.fleet.outcomes = append(e.fleet.outcomes, o)
	r.onEnd()
}

func (e *entry) refuse(r *request) {
	o := outcome{workspace: r.conversation.workspace, service: r.service(), refused: true}
	o.waited = e.fleet.timeline.now().Sub(r.began)
	e.fleet.outcomes = append(e.fleet.outcomes, o)
	r.onEnd()
}
