package roster

import "sync"

// PartID identifies one part of a prompt, together with all parts before it.
type PartID uint64

// rememberedParts bounds each of the two generations of a cache.
const rememberedParts = 128

// cache holds the parts of the prompts that this instance lately sent to an endpoint, as a guess of what its KV cache
// keeps. Parts that are not used while a generation fills up are forgotten.
type cache struct {
	mu           sync.Mutex
	newer, older map[PartID]struct{}
}

func (c *cache) holds(id PartID) bool {
	if _, ok := c.newer[id]; ok {
		return true
	}
	_, ok := c.older[id]
	return ok
}

func (c *cache) learn(id PartID) {
	if c.newer == nil || len(c.newer) >= rememberedParts {
		c.older, c.newer = c.newer, map[PartID]struct{}{}
	}
	c.newer[id] = struct{}{}
}

func (c *cache) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newer, c.older = nil, nil
}

// Kept counts the leading parts that the endpoint is thought to keep.
func (e *Endpoint) Kept(parts []PartID) int {
	e.cache.mu.Lock()
	defer e.cache.mu.Unlock()
	for n, id := range parts {
		if !e.cache.holds(id) {
			return n
		}
	}
	return len(parts)
}

// Learn notes parts that the endpoint has been sent.
func (e *Endpoint) Learn(parts []PartID) {
	e.cache.mu.Lock()
	defer e.cache.mu.Unlock()
	for _, id := range parts {
		e.cache.learn(id)
	}
}
