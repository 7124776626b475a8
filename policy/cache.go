package main

import "container/list"

// pieceID identifies a piece of a prompt together with the whole prefix before it.
type pieceID uint64

// cache is an engine's prefix cache. It evicts the least recently used pieces, and the end of a prefix before its start.
type cache struct {
	capacity int
	order    *list.List // most recently used piece first
	elements map[pieceID]*list.Element
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), elements: map[pieceID]*list.Element{}}
}

// match counts the leading pieces that the cache holds.
func (c *cache) match(pieces []pieceID) int {
	n := 0
	for n < len(pieces) && c.elements[pieces[n]] != nil {
		n++
	}
	return n
}

// store adds a prompt's leading pieces, up to the cache's capacity, and marks them as used.
func (c *cache) store(pieces []pieceID) {
	pieces = pieces[:min(len(pieces), c.capacity)]
	for i := len(pieces) - 1; i >= 0; i-- {
		if el := c.elements[pieces[i]]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		c.elements[pieces[i]] = c.order.PushFront(pieces[i])
	}
	for c.order.Len() > c.capacity {
		delete(c.elements, c.order.Remove(c.order.Back()).(pieceID))
	}
}
