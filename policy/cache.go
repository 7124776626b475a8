package main

import "container/list"

// blockID identifies a block of a prompt's tokens together with the whole prefix before it.
type blockID uint64

// cache is an engine's prefix cache. It evicts the least recently used blocks, and the end of a prefix before its start.
type cache struct {
	capacity int
	order    *list.List // most recently used block first
	elements map[blockID]*list.Element
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), elements: map[blockID]*list.Element{}}
}

// match counts a prompt's leading blocks that the cache holds.
func (c *cache) match(blocks []blockID) int {
	n := 0
	for n < len(blocks) && c.elements[blocks[n]] != nil {
		n++
	}
	return n
}

// store adds a prompt's leading blocks, up to the cache's capacity, and marks them as used.
func (c *cache) store(blocks []blockID) {
	blocks = blocks[:min(len(blocks), c.capacity)]
	for i := len(blocks) - 1; i >= 0; i-- {
		if el := c.elements[blocks[i]]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		c.elements[blocks[i]] = c.order.PushFront(blocks[i])
	}
	for c.order.Len() > c.capacity {
		delete(c.elements, c.order.Remove(c.order.Back()).(blockID))
	}
}
