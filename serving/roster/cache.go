package roster

import (
	"sync"
	"time"
)

// PartID identifies one part of a prompt, together with all parts before it.
type PartID uint64

// Bounds of what an endpoint is thought to keep.
const (
	// keptFor is how long a part is thought to be kept after its last use. An engine under load reads its whole memory anew in
	// about that time.
	keptFor = 30 * time.Second
	// maxParts is how many parts are remembered before those that are no longer kept are dropped.
	maxParts = 1024
)

// cache holds the parts of prompts that were lately sent to an endpoint, as a guess of what its KV cache keeps.
type cache struct {
	mu   sync.Mutex
	used map[PartID]time.Time
}

func (c *cache) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = nil
}

func (c *cache) learn(parts []PartID, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.used == nil {
		c.used = map[PartID]time.Time{}
	}
	fresh := false
	for _, id := range parts {
		fresh = fresh || now.Sub(c.used[id]) > keptFor/2
		c.used[id] = now
	}
	if len(c.used) > maxParts {
		c.drop(now)
	}
	return fresh
}

// drop forgets what is no longer kept, or everything if that is too much still.
func (c *cache) drop(now time.Time) {
	for id, at := range c.used {
		if now.Sub(at) > keptFor {
			delete(c.used, id)
		}
	}
	if len(c.used) > maxParts {
		c.used = nil
	}
}

// Kept counts the leading parts that the endpoint is thought to keep.
func (e *Endpoint) Kept(parts []PartID, now time.Time) int {
	e.cache.mu.Lock()
	defer e.cache.mu.Unlock()
	for n, id := range parts {
		at, known := e.cache.used[id]
		if !known || now.Sub(at) > keptFor {
			return n
		}
	}
	return len(parts)
}

// Learn notes parts that the endpoint has been sent, and tells whether that is news.
func (e *Endpoint) Learn(parts []PartID, now time.Time) bool {
	return e.cache.learn(parts, now)
}
