package standin

import "sync"

// JournalSize is the number of entries that a stand-in keeps for tests to check.
const JournalSize = 100_000

// Journal is a ring buffer of the newest entries.
type Journal[T any] struct {
	mu      sync.Mutex
	size    int
	start   int // index of the oldest entry
	entries []T
}

// NewJournal returns a journal of at most size entries.
func NewJournal[T any](size int) *Journal[T] {
	return &Journal[T]{size: size}
}

// Add appends an entry. If the journal is full, it drops the oldest one.
func (j *Journal[T]) Add(entry T) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.entries) < j.size {
		j.entries = append(j.entries, entry)
		return
	}
	j.entries[j.start] = entry
	j.start = (j.start + 1) % j.size
}

// All returns a copy of the entries, oldest first.
func (j *Journal[T]) All() []T {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := make([]T, 0, len(j.entries))
	all = append(all, j.entries[j.start:]...)
	return append(all, j.entries[:j.start]...)
}
