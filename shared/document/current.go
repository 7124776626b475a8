package document

import (
	"fmt"
	"sync"
	"sync/atomic"

	"cowslipshunt.example/wire"
)

// Accepted is an accepted document. It is read-only.
type Accepted struct {
	Version wire.DocumentVersion
	Digest  wire.Digest
	Text    []byte
	Index   *Index
}

// Current holds the newest accepted document that a process has received. Reading it takes no lock.
type Current struct {
	accepted atomic.Pointer[Accepted]
	mu       sync.Mutex
	onChange func(*Accepted)
}

// NewCurrent returns a Current without a document.
func NewCurrent() *Current {
	return &Current{onChange: func(*Accepted) {}}
}

// OnChange sets a function that Apply calls with each newer document, in order of version. The function must not call Apply.
func (c *Current) OnChange(f func(*Accepted)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onChange = f
}

// Load returns the newest document, or nil if there is none.
func (c *Current) Load() *Accepted {
	return c.accepted.Load()
}

// Version returns the newest document's version, or zero if there is none.
func (c *Current) Version() wire.DocumentVersion {
	if a := c.accepted.Load(); a != nil {
		return a.Version
	}
	return 0
}

// Apply makes a document the current one if its version is newer, and reports whether it did. It returns an error if the text
// does not match the digest or does not parse.
func (c *Current) Apply(version wire.DocumentVersion, digest wire.Digest, text []byte) (bool, error) {
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
	c.onChange(accepted)
	return true, nil
}
