package document

import (
	"fmt"
	"sync"
	"sync/atomic"

	"cowslipshunt.example/wire"
)

// Accepted is one accepted document, read-only.
type Accepted struct {
	Version wire.DocumentVersion
	Digest  wire.Digest
	Text    []byte
	Index   *Index
}

// Current holds the newest accepted document that a process has seen. Readers take it without a lock.
type Current struct {
	accepted atomic.Pointer[Accepted]
	mu       sync.Mutex
	changed  func(*Accepted)
}

// NewCurrent returns a holder without a document.
func NewCurrent() *Current {
	return &Current{changed: func(*Accepted) {}}
}

// OnChange sets what is called after each newer document, in order. It must not call Take.
func (c *Current) OnChange(changed func(*Accepted)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed = changed
}

// Load returns the newest document, or nil.
func (c *Current) Load() *Accepted {
	return c.accepted.Load()
}

// Version returns the newest document's version, or zero.
func (c *Current) Version() wire.DocumentVersion {
	if a := c.accepted.Load(); a != nil {
		return a.Version
	}
	return 0
}

// Take puts a document in force if it is newer than the present one, and tells whether it did. It returns an error for a
// text that is not the digest's or does not parse.
func (c *Current) Take(version wire.DocumentVersion, digest wire.Digest, text []byte) (bool, error) {
	if version <= c.Version() {
		return false, nil
	}
	if got := Digest(text); got != digest {
		return false, fmt.Errorf("document version %d has digest %s, not %s", version, got, digest)
	}
	d, err := Parse(fmt.Sprintf("version-%d", version), text)
	if err != nil {
		return false, fmt.Errorf("document version %d: %w", version, err)
	}
	accepted := &Accepted{Version: version, Digest: digest, Text: text, Index: NewIndex(d)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.Version() {
		return false, nil
	}
	c.accepted.Store(accepted)
	c.changed(accepted)
	return true, nil
}
