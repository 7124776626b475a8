package main

import (
	"container/heap"
	"time"

	"github.com/jonboulle/clockwork"
)

// event is something that happens at a time.
type event struct {
	at     time.Time
	number int
	do     func()
}

// eventHeap orders events by time, then by the order in which they were set.
type eventHeap []event

// Len is for container/heap.
func (h eventHeap) Len() int {
	return len(h)
}

// Less is for container/heap.
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].number < h[j].number
}

// Swap is for container/heap.
func (h eventHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
}

// Push is for container/heap.
func (h *eventHeap) Push(x any) {
	*h = append(*h, x.(event))
}

// Pop is for container/heap.
func (h *eventHeap) Pop() any {
	end := len(*h) - 1
	e := (*h)[end]
	*h = (*h)[:end]
	return e
}

// timeline runs events in virtual time, one after the other.
type timeline struct {
	clock  *clockwork.FakeClock
	start  time.Time
	events eventHeap
	number int
}

func newTimeline() *timeline {
	start := time.Unix(0, 0)
	return &timeline{clock: clockwork.NewFakeClockAt(start), start: start}
}

func (t *timeline) now() time.Time {
	return t.clock.Now()
}

// after sets an event d from now.
func (t *timeline) after(d time.Duration, do func()) {
	heap.Push(&t.events, event{at: t.now().Add(d), number: t.number, do: do})
	t.number++
}

// run goes on until no event is left before the end.
func (t *timeline) run(length time.Duration) {
	end := t.start.Add(length)
	for len(t.events) > 0 && !t.events[0].at.After(end) {
		e := heap.Pop(&t.events).(event)
		t.clock.Advance(e.at.Sub(t.now()))
		e.do()
	}
}
