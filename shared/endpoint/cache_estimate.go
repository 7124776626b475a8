package endpoint

import (
	"sync"

	"cowslipshunt.example/shared/promptblock"
)

// generationKeys bounds the keys in each of the two generations of a cacheEstimate.
const generationKeys = 256

// cacheEstimate holds the block keys of prompts that this entry recently sent to an endpoint. It estimates what the endpoint's
// prefix cache holds. When the newer generation is full, the older one is discarded, so keys that were not used while a
// generation filled up are forgotten.
type cacheEstimate struct {
	mu           sync.Mutex
	newer, older map[promptblock.Key]struct{}
}

// matchPrefix counts the leading keys that the estimate contains.
func (c *cacheEstimate) matchPrefix(keys []promptblock.Key) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, key := range keys {
		if !c.contains(key) {
			return n
		}
	}
	return len(keys)
}

func (c *cacheEstimate) contains(key promptblock.Key) bool {
	if _, found := c.newer[key]; found {
		return true
	}
	_, found := c.older[key]
	return found
}

// record adds the first generationKeys keys of a prompt, in reverse order, so that the start of a prefix is forgotten after its
// end.
func (c *cacheEstimate) record(keys []promptblock.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys = keys[:min(len(keys), generationKeys)]
	for i := len(keys) - 1; i >= 0; i-- {
		c.insert(keys[i])
	}
}

func (c *cacheEstimate) insert(key promptblock.Key) {
	if c.newer == nil || len(c.newer) >= generationKeys {
		c.newer, c.older = c.older, c.newer
		clear(c.newer)
	}
	if c.newer == nil {
		c.newer = map[promptblock.Key]struct{}{}
	}
	c.newer[key] = struct{}{}
}

// reset removes all keys.
func (c *cacheEstimate) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.newer)
	clear(c.older)
}

// size counts the entries of both generations; a key in both counts twice.
func (c *cacheEstimate) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.newer) + len(c.older)
}
