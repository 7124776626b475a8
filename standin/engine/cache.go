package main

import (
	"container/list"
	"slices"
	"sync"

	"cowslipshunt.example/wire"
)

// cache is a prefix cache. It evicts the least recently used blocks, and of one prefix the last blocks first.
type cache struct {
	mu       sync.Mutex
	capacity int
	// order has the most recently used block in front.
	order    *list.List
	elements map[string]*list.Element
	// onChange is called for each change, in order and with mu held; used is the number of blocks held after it.
	onChange func(kind wire.CacheEventKind, blocks []string, used int)
}

func newCache(capacity int, onChange func(wire.CacheEventKind, []string, int)) *cache {
	return &cache{capacity: capacity, order: list.New(), elements: map[string]*list.Element{}, onChange: onChange}
}

// match returns how many leading blocks the cache holds, and marks them as used.
func (c *cache) match(blocks []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(blocks) && c.elements[blocks[n]] != nil {
		n++
	}
	c.touch(blocks[:n])
	return n
}

// store adds the leading blocks, up to the cache's capacity, and evicts the least recently used ones to make room.
func (c *cache) store(blocks []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	blocks = blocks[:min(len(blocks), c.capacity)]
	stored := c.touch(blocks)
	evicted := c.evictExcess()
	if len(evicted) > 0 {
		c.onChange(wire.CacheEventKindEvicted, evicted, c.order.Len())
	}
	if len(stored) > 0 {
		c.onChange(wire.CacheEventKindStored, stored, c.order.Len())
	}
}

// clear evicts all blocks.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var evicted []string
	for el := c.order.Back(); el != nil; el = el.Prev() {
		evicted = append(evicted, el.Value.(string))
	}
	c.order.Init()
	clear(c.elements)
	if len(evicted) > 0 {
		c.onChange(wire.CacheEventKindEvicted, evicted, 0)
	}
}

// touch marks blocks as used, the first as the most recent, and returns those that it added.
func (c *cache) touch(blocks []string) []string {
	var added []string
	for _, name := range slices.Backward(blocks) {
		if el := c.elements[name]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		c.elements[name] = c.order.PushFront(name)
		added = append(added, name)
	}
	slices.Reverse(added)
	return added
}

func (c *cache) evictExcess() []string {
	var evicted []string
	for c.order.Len() > c.capacity {
		name := c.order.Remove(c.order.Back()).(string)
		delete(c.elements, name)
		evicted = append(evicted, name)
	}
	return evicted
}
