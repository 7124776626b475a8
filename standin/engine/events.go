package main

import (
	"slices"
	"sync"
	"time"

	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// maxEvents is the number of cache events that an engine keeps when it drops older ones, which it does at twice that number.
const maxEvents = 10_000

type timedEvent struct {
	at    time.Time
	event wire.CacheEvent
}

// eventLog delivers cache events with a lag and loses some, as real engines do.
type eventLog struct {
	clock    clockwork.Clock
	lag      time.Duration
	gapEvery int
	mu       sync.Mutex
	sequence int
	kept     []timedEvent
}

func newEventLog(clock clockwork.Clock, lag time.Duration, gapEvery int) *eventLog {
	return &eventLog{clock: clock, lag: lag, gapEvery: gapEvery}
}

// add appends an event with the next sequence number. A lost event leaves a gap in the sequence.
func (l *eventLog) add(kind wire.CacheEventKind, blocks []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	if l.gapEvery > 0 && l.sequence%l.gapEvery == 0 {
		return
	}
	event := wire.CacheEvent{Kind: kind, Pieces: blocks, Sequence: l.sequence}
	l.kept = append(l.kept, timedEvent{at: l.clock.Now(), event: event})
	if len(l.kept) > 2*maxEvents {
		l.kept = slices.Clone(l.kept[len(l.kept)-maxEvents:])
	}
}

// after returns the events after a sequence number that are at least as old as the lag.
func (l *eventLog) after(sequence int) []wire.CacheEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	visibleUntil := l.clock.Now().Add(-l.lag)
	events := []wire.CacheEvent{}
	from, _ := slices.BinarySearchFunc(l.kept, sequence+1, func(e timedEvent, n int) int {
		return e.event.Sequence - n
	})
	for _, e := range l.kept[from:] {
		if e.at.After(visibleUntil) {
			break
		}
		events = append(events, e.event)
	}
	return events
}
