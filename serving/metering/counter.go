// Package metering counts the requests that begin to run by usage window and workspace.
package metering

import (
	"maps"
	"sync"
	"time"

	"cowslipshunt.example/wire"
)

// Window numbers the usage windows: window k begins k times its length after the start of 1970.
type Window int64

// Counts are the requests of each workspace that began to run in one window.
type Counts map[wire.WorkspaceName]int

// Add adds other counts.
func (c Counts) Add(other Counts) {
	for workspace, n := range other {
		c[workspace] += n
	}
}

// Counter counts requests. It is safe for concurrent use.
type Counter struct {
	length time.Duration
	now    func() time.Time

	mu      sync.Mutex
	windows map[Window]Counts
	dirty   map[Window]bool
	// revisions are those of the rows in the store, 0 for none.
	revisions map[Window]wire.Revision
	// handedOff are the windows of which peers have a copy.
	handedOff map[Window]bool
}

// NewCounter returns a counter for windows of a length; now returns true time.
func NewCounter(length time.Duration, now func() time.Time) *Counter {
	return &Counter{
		length:    length,
		now:       now,
		windows:   map[Window]Counts{},
		dirty:     map[Window]bool{},
		revisions: map[Window]wire.Revision{},
		handedOff: map[Window]bool{},
	}
}

// At returns the window of a moment.
func (c *Counter) At(t time.Time) Window {
	return Window(t.UnixMilli() / c.length.Milliseconds())
}

// End returns when a window is over.
func (c *Counter) End(w Window) time.Time {
	return time.UnixMilli((int64(w) + 1) * c.length.Milliseconds())
}

// Began counts a request that began to run now.
func (c *Counter) Began(workspace wire.WorkspaceName) {
	if workspace == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.At(c.now())
	if c.windows[w] == nil {
		c.windows[w] = Counts{}
	}
	c.windows[w][workspace]++
	c.dirty[w] = true
}

// Dirty returns the windows whose counts have risen since they were marked written, with the counts of now.
func (c *Counter) Dirty() map[Window]Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make(map[Window]Counts, len(c.dirty))
	for w := range c.dirty {
		list[w] = maps.Clone(c.windows[w])
	}
	return list
}

// Written marks counts as written at a revision; a window that has risen meanwhile stays dirty.
func (c *Counter) Written(written map[Window]Counts, revision wire.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for w, counts := range written {
		c.revisions[w] = revision
		if maps.Equal(c.windows[w], counts) {
			delete(c.dirty, w)
		}
	}
}

// Forget drops the windows that ended before a moment and are written.
func (c *Counter) Forget(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for w := range c.windows {
		if !c.dirty[w] && c.End(w).Before(before) {
			delete(c.windows, w)
			delete(c.revisions, w)
		}
	}
}

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
