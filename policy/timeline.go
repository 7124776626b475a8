package main

import (
	"container/heap"
	"time"

	"github.com/jonboulle/clockwork"
)

// event is a function that runs at a virtual time.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

// eventHeap orders events by time, then by the order in which they were scheduled.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int {
	return len(h)
}

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) {
	*h = append(*h, x.(event))
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	end := len(*h) - 1
	e := (*h)[end]
	*h = (*h)[:end]
	return e
}

// timeline is a discrete-event scheduler that runs events one after the other in virtual time.
type timeline struct {
	clock    *clockwork.FakeClock
	start    time.Time
	events   eventHeap
	sequence int
}

func newTimeline() *timeline {
	start := time.Unix(0, 0)
	return &timeline{clock: clockwork.NewFakeClockAt(start), start: start}
}

func (t *timeline) now() time.Time {
	return t.clock.Now()
}

// after schedules do to run d from now.
func (t *timeline) after(d time.Duration, do func()) {
	heap.Push(&t.events, event{at: t.now().Add(d), sequence: t.sequence, do: do})
	t.sequence++
}

// run runs events in order until none is left up to length after the start.
func (t *timeline) run(length time.Duration) {
	end := t.start.Add(length)
	for len(t.events) > 0 && !t.events[0].at.After(end) {
		e := heap.Pop(&t.events).(event)
		t.clock.Advance(e.at.Sub(t.now()))
		e.do()
	}
}
