package main

import (
	"time"

	"cowslipshunt.example/wire"
)

// Step times and limits of a fake engine. Each step prefills at most stepTokens and yields one token for each running request
// whose prefill ends within the step or has ended before.
const (
	stepBase       = 8 * time.Millisecond
	stepPerToken   = 15 * time.Microsecond
	stepPerRequest = 750 * time.Microsecond
	stepTokens     = 1024
	maxRunning     = 16
	cacheBlocks    = 4000
	blockTokens    = 16
)

// job is one attempt of a request on an engine.
type job struct {
	blocks       []blockID
	promptTokens int
	outputTokens int
	// token is called for each output token; done is called once at the end, with lost set if the engine crashed.
	token func()
	done  func(lost bool)

	prefillLeft  int
	cachedTokens int
	emitted      int
}

// engine simulates continuous batching: steps follow one another while there are requests.
type engine struct {
	id       wire.EndpointId
	timeline *timeline
	cache    *cache
	waiting  []*job
	running  []*job
	busy     bool
	down     bool
}

func newEngine(id wire.EndpointId, tl *timeline) *engine {
	return &engine{id: id, timeline: tl, cache: newCache(cacheBlocks)}
}

func (e *engine) accept(j *job) {
	if e.down {
		j.done(true)
		return
	}
	e.waiting = append(e.waiting, j)
	if !e.busy {
		e.step()
	}
}

// step admits waiting requests, divides the step's prefill budget between the running ones and schedules the step's end.
func (e *engine) step() {
	e.admit()
	e.busy = len(e.running) > 0
	if !e.busy {
		return
	}
	budget := stepTokens
	var prefilled []*job
	for _, j := range e.running {
		n := min(budget, j.prefillLeft)
		budget -= n
		j.prefillLeft -= n
		if n > 0 {
			prefilled = append(prefilled, j)
		}
	}
	ready := e.decoding()
	stepTime := stepBase + time.Duration(stepTokens-budget)*stepPerToken + time.Duration(len(e.running))*stepPerRequest
	e.timeline.after(stepTime, func() { e.endStep(prefilled, ready) })
}

func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < maxRunning {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.cachedTokens = min(e.cache.match(j.blocks)*blockTokens, j.promptTokens-1)
		j.prefillLeft = j.promptTokens - j.cachedTokens
		e.running = append(e.running, j)
	}
}

// decoding returns the running requests without prefill left; they get a token at the step's end.
func (e *engine) decoding() []*job {
	var list []*job
	for _, j := range e.running {
		if j.prefillLeft == 0 {
			list = append(list, j)
		}
	}
	return list
}

func (e *engine) endStep(prefilled, ready []*job) {
	if e.down {
		return
	}
	for _, j := range prefilled {
		if j.prefillLeft == 0 {
			e.cache.store(j.blocks)
		}
	}
	for _, j := range ready {
		j.emitted++
		j.token()
	}
	e.removeFinished()
	e.step()
}

// removeFinished removes the requests that have all their output tokens, and reports their end.
func (e *engine) removeFinished() {
	var ended []*job
	kept := e.running[:0]
	for _, j := range e.running {
		if j.emitted >= j.outputTokens {
			ended = append(ended, j)
		} else {
			kept = append(kept, j)
		}
	}
	e.running = kept
	for _, j := range ended {
		j.done(false)
	}
}

// crash stops the engine and ends all its running and waiting requests as lost.
func (e *engine) crash() {
	e.down = true
	all := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	for _, j := range all {
		j.done(true)
	}
}

// restart makes a crashed engine available again, with an empty cache.
func (e *engine) restart() {
	e.down, e.busy = false, false
	e.cache = newCache(cacheBlocks)
}
