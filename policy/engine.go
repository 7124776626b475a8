package main

import (
	"time"

	"cowslipshunt.example/wire"
)

// Timing and size of a fake engine. Each step prefills at most stepTokens and yields one token for each running request
// that is past its prefill.
const (
	stepBase       = 8 * time.Millisecond
	stepPerToken   = 15 * time.Microsecond
	stepPerRequest = 750 * time.Microsecond
	stepTokens     = 1024
	maxRunning     = 16
	cachePieces    = 4000
	pieceTokens    = 16
)

// job is one attempt at an engine.
type job struct {
	pieces []pieceID
	prompt int
	output int
	// token is called for each token and done at the end, with an error if the engine was lost.
	token func()
	done  func(lost bool)

	left    int
	cached  int
	emitted int
}

// engine batches continuously: steps follow one another while there is work.
type engine struct {
	id      wire.EndpointId
	line    *timeline
	cache   *cache
	waiting []*job
	running []*job
	busy    bool
	lost    bool
}

func newEngine(id wire.EndpointId, line *timeline) *engine {
	return &engine{id: id, line: line, cache: newCache(cachePieces)}
}

func (e *engine) accept(j *job) {
	if e.lost {
		j.done(true)
		return
	}
	e.waiting = append(e.waiting, j)
	if !e.busy {
		e.step()
	}
}

// step admits what waits, then works for the step's time.
func (e *engine) step() {
	e.admit()
	e.busy = len(e.running) > 0
	if !e.busy {
		return
	}
	room := stepTokens
	var prefilled []*job
	for _, j := range e.running {
		n := min(room, j.left)
		room -= n
		j.left -= n
		if n > 0 {
			prefilled = append(prefilled, j)
		}
	}
	ready := e.ready()
	took := stepBase + time.Duration(stepTokens-room)*stepPerToken + time.Duration(len(e.running))*stepPerRequest
	e.line.after(took, func() { e.endStep(prefilled, ready) })
}

func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < maxRunning {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.cached = min(e.cache.match(j.pieces)*pieceTokens, j.prompt-1)
		j.left = j.prompt - j.cached
		e.running = append(e.running, j)
	}
}

// ready returns the requests that get a token at the step's end.
func (e *engine) ready() []*job {
	var list []*job
	for _, j := range e.running {
		if j.left == 0 {
			list = append(list, j)
		}
	}
	return list
}

func (e *engine) endStep(prefilled, ready []*job) {
	if e.lost {
		return
	}
	for _, j := range prefilled {
		if j.left == 0 {
			e.cache.store(j.pieces)
		}
	}
	for _, j := range ready {
		j.emitted++
		j.token()
	}
	e.finish()
	e.step()
}

// finish takes out the requests that are whole.
func (e *engine) finish() {
	var ended []*job
	kept := e.running[:0]
	for _, j := range e.running {
		if j.emitted >= j.output {
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

// vanish ends the engine with all that it has.
func (e *engine) vanish() {
	e.lost = true
	all := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	for _, j := range all {
		j.done(true)
	}
}

// comeBack starts the engine anew, with an empty cache.
func (e *engine) comeBack() {
	e.lost, e.busy = false, false
	e.cache = newCache(cachePieces)
}
