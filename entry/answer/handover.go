package answer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/wire"
)

// handOver looks for another engine, as those that were asked have been silent for too long. It waits for a slot there in the queue,
// like any other request.
func (f *follower) handOver() {
	now := f.server.clock.Now()
	for _, a := range f.open {
		a.silent = true
		a.slot.RecordSilence(now)
	}
	asked := f.asked()
	switch {
	case f.slots != nil:
		return
	case f.attempt >= maxAttempts:
		f.logWait("no attempt is left")
		return
	case endpoint.CountEligible(f.engines(), endpoint.Need{Excluded: asked}) == 0:
		f.logWait("there is no other")
		return
	}
	ctx, cancel := context.WithCancel(f.ctx)
	slots := make(chan *endpoint.Slot, 1)
	f.slots, f.stopWaiting = slots, cancel
	request := f.server.queueRequest(f.admitted, f.model, f.exchange, slices.Concat(f.failed, asked))
	go func() {
		slot, err := f.server.waitForSlot(ctx, f.model, request)
		if err != nil {
			slot = nil
		}
		slots <- slot
	}()
}

// ask sends the request to another engine, in whose slot it was, if the retry budget allows it. slot is nil if none was free in time.
func (f *follower) ask(slot *endpoint.Slot) {
	f.stopWaiting()
	f.slots = nil
	if slot == nil {
		f.logWait("no slot was free in time")
		return
	}
	switch {
	case slices.Contains(f.asked(), slot.State().Endpoint):
		f.logWait("no other has a free slot")
	case !f.server.takeRetry():
		f.logWait("the retry budget is spent")
	default:
		f.admitted.Log.Warn().Str("Endpoint", string(slot.State().Endpoint)).Int("Attempt", f.attempt+1).Int("Delivered", len(f.delivered)).Msg("engine is silent; asking another one")
		f.begin(slot)
		f.watchdog.Reset(f.server.limits.Stall)
		return
	}
	f.server.freeSlot(f.model, slot)
}

// stopWait ends the wait for a slot, if there is one, and frees the slot if it came all the same.
func (f *follower) stopWait() {
	if f.slots == nil {
		return
	}
	f.stopWaiting()
	if slot := <-f.slots; slot != nil {
		f.server.freeSlot(f.model, slot)
	}
	f.slots = nil
}

// patience returns how long the engines may be silent from now on. If another engine has failed beside a silent one, the next is asked
// soon, provided that there is one that has not failed.
func (f *follower) patience() time.Duration {
	stall := f.server.limits.Stall
	if len(f.open) == 0 || !f.open[0].silent {
		return stall
	}
	need := endpoint.Need{Excluded: slices.Concat(f.failed, f.asked())}
	if !endpoint.AnyUnpaused(f.engines(), need, f.server.clock.Now()) {
		return stall
	}
	return min(stall, rand.N(maxRetryDelay))
}

// asked lists the engines that are asked now.
func (f *follower) asked() []wire.EndpointId {
	var ids []wire.EndpointId
	for _, a := range f.open {
		ids = append(ids, a.slot.State().Endpoint)
	}
	return ids
}

// engines returns the engines that serve the model.
func (f *follower) engines() []*endpoint.Endpoint {
	return f.server.directory.View().Model(f.model.Name)
}

// logWait logs that the request waits on for the engines that were asked, unless that was the last line about it.
func (f *follower) logWait(reason string) {
	if f.waitReason == reason {
		return
	}
	f.waitReason = reason
	f.admitted.Log.Warn().Int("Attempt", f.attempt).Int("Delivered", len(f.delivered)).Str("Reason", reason).Msg("engine is silent; waiting for it, as no other one can be asked")
}
