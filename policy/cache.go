package main

import "container/list"

// pieceID names a piece of a prompt together with everything before it.
type pieceID uint64

// cache is an engine's prefix cache: the newest used pieces, with the end of a prefix evicted before its start.
type cache struct {
	capacity int
	order    *list.List
	at       map[pieceID]*list.Element
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), at: map[pieceID]*list.Element{}}
}

// match counts the leading pieces that the cache holds.
func (c *cache) match(pieces []pieceID) int {
	n := 0
	for n < len(pieces) && c.at[pieces[n]] != nil {
		n++
	}
	return n
}

// store keeps a prompt's pieces, as many of the first as there is room for.
func (c *cache) store(pieces []pieceID) {
	pieces = pieces[:min(len(pieces), c.capacity)]
	for i := len(pieces) - 1; i >= 0; i-- {
		if el := c.at[pieces[i]]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		c.at[pieces[i]] = c.order.PushFront(pieces[i])
	}
	for c.order.Len() > c.capacity {
		delete(c.at, c.order.Remove(c.order.Back()).(pieceID))
	}
}
