package roster

import (
	"sync"
	"time"
)

// PartID identifies one part of a prompt, together with all parts before it.
type PartID uint64

// Bounds of the estimate of an endpoint's KV cache.
const (
	// partLifetime is how long a part is assumed to stay in the KV cache after its last use. An engine under load replaces its whole
	// cache in about that time.
	partLifetime = 30 * time.Second
	// maxParts is the number of parts above which expired ones are removed.
	maxParts = 1024
)

// cache estimates the content of an endpoint's KV cache from the prompt parts that were recently sent to the endpoint.
type cache struct {
	mu sync.Mutex
	// lastUse is when each part was last sent.
	lastUse map[PartID]time.Time
}

func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUse = nil
}

// add records parts that were sent, and reports whether one of them was new or last sent more than half its lifetime ago.
func (c *cache) add(parts []PartID, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastUse == nil {
		c.lastUse = map[PartID]time.Time{}
	}
	isNew := false
	for _, id := range parts {
		isNew = isNew || now.Sub(c.lastUse[id]) > partLifetime/2
		c.lastUse[id] = now
	}
	if len(c.lastUse) > maxParts {
		c.evict(now)
	}
	return isNew
}

// evict removes expired parts, or all parts if more than maxParts remain.
func (c *cache) evict(now time.Time) {
	for id, at := range c.lastUse {
		if now.Sub(at) > partLifetime {
			delete(c.lastUse, id)
		}
	}
	if len(c.lastUse) > maxParts {
		c.lastUse = nil
	}
}

// CachedParts returns how many leading parts of a prompt are assumed to be in the endpoint's KV cache.
func (e *Endpoint) CachedParts(parts []PartID, now time.Time) int {
	e.cache.mu.Lock()
	defer e.cache.mu.Unlock()
	for n, id := range parts {
		at, known := e.cache.lastUse[id]
		if !known || now.Sub(at) > partLifetime {
			return n
		}
	}
	return len(parts)
}

// RecordParts records prompt parts that were sent to the endpoint. It reports whether one of them is new or was last recorded more
// than 15 s ago, so that the parts should be reported to the peers.
func (e *Endpoint) RecordParts(parts []PartID, now time.Time) bool {
	return e.cache.add(parts, now)
}
