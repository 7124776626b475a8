// Package metering counts the requests that begin to run, by usage window and workspace, and reports them to the platform.
package metering

import (
	"maps"
	"sync"
	"time"

	"cowslipshunt.example/wire"
)

// Window is the number of a usage window. Window k starts k window lengths after the start of 1970 (UTC).
type Window int64

// Counts holds how many requests of each workspace began to run in a window.
type Counts map[wire.WorkspaceName]int

// Add adds other counts to c.
func (c Counts) Add(other Counts) {
	for workspace, n := range other {
		c[workspace] += n
	}
}

// Counter counts the requests of one incarnation of an instance. It is safe for concurrent use.
type Counter struct {
	length time.Duration
	now    func() time.Time

	mu      sync.Mutex
	windows map[Window]Counts
	// changed holds when the counts of each window last changed.
	changed map[Window]time.Time
	// dirty are the windows whose counts in the store are missing or too low.
	dirty map[Window]bool
	// revisions are the revisions of the windows' rows in the store, 0 for a window without a row.
	revisions map[Window]wire.Revision
	// stored are the counts of the windows that the store has.
	stored map[Window]storedCounts
	// handedOff are the windows whose counts were handed off to peers, with the number of withdrawals that are still to be sent.
	handedOff map[Window]int
	// finished is set once the incarnation counts no more requests.
	finished bool
}

// NewCounter returns a counter for windows of the given length. The function now returns the time that all instances agree on.
func NewCounter(length time.Duration, now func() time.Time) *Counter {
	return &Counter{
		length:    length,
		now:       now,
		windows:   map[Window]Counts{},
		changed:   map[Window]time.Time{},
		dirty:     map[Window]bool{},
		revisions: map[Window]wire.Revision{},
		stored:    map[Window]storedCounts{},
		handedOff: map[Window]int{},
	}
}

// At returns the window that contains a time.
func (c *Counter) At(t time.Time) Window {
	return Window(t.UnixMilli() / c.length.Milliseconds())
}

// End returns the end of a window.
func (c *Counter) End(w Window) time.Time {
	return time.UnixMilli((int64(w) + 1) * c.length.Milliseconds())
}

// Began counts a request of a workspace that begins to run now. Requests without a workspace are not counted.
func (c *Counter) Began(workspace wire.WorkspaceName) {
	if workspace == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	w := c.At(now)
	if c.windows[w] == nil {
		c.windows[w] = Counts{}
	}
	c.windows[w][workspace]++
	c.changed[w] = now
	c.dirty[w] = true
}

// Finish records that the incarnation counts no more requests. The row of the present window has to be written once more, as no later
// window waits for an incarnation that has ended.
func (c *Counter) Finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.At(c.now())
	if c.windows[w] == nil {
		c.windows[w] = Counts{}
	}
	c.dirty[w] = true
	c.finished = true
}

// hasFinished reports whether Finish was called.
func (c *Counter) hasFinished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finished
}

// Dirty returns the current counts of the windows that have changed since they were last marked as written.
func (c *Counter) Dirty() map[Window]Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make(map[Window]Counts, len(c.dirty))
	for w := range c.dirty {
		list[w] = maps.Clone(c.windows[w])
	}
	return list
}

// isUnknown reports whether a window has unwritten counts although the store has no row of the incarnation for it or the window before.
// No reporter waits for such an incarnation.
func (c *Counter) isUnknown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for w := range c.dirty {
		if c.revisions[w] == 0 && c.revisions[w-1] == 0 {
			return true
		}
	}
	return false
}

// MarkWritten marks counts as written with a revision. A window whose counts have risen in the meantime stays dirty.
func (c *Counter) MarkWritten(written map[Window]Counts, revision wire.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for w, counts := range written {
		c.revisions[w] = revision
		if maps.Equal(c.windows[w], counts) {
			delete(c.dirty, w)
		}
	}
}

// Forget removes the windows that ended before a time and whose counts are written.
func (c *Counter) Forget(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for w := range c.windows {
		if !c.dirty[w] && c.End(w).Before(before) {
			delete(c.windows, w)
			delete(c.changed, w)
			delete(c.revisions, w)
			delete(c.stored, w)
		}
	}
}

// revision returns the last known revision of a window's row, 0 if none is known.
func (c *Counter) revision(w Window) wire.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revisions[w]
}

func (c *Counter) setRevision(w Window, revision wire.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revisions[w] = revision
}
