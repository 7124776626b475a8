package main

import (
	"container/list"
	"slices"
	"sync"

	"cowslipshunt.example/wire"
)

// cache holds the newest used prefix pieces. The end of a prefix is evicted before its start.
type cache struct {
	mu       sync.Mutex
	capacity int
	// order has the newest used piece in front.
	order *list.List
	at    map[string]*list.Element
	// changed is called in the order of the changes.
	changed func(kind wire.CacheEventKind, pieces []string, used int)
}

func newCache(capacity int, changed func(wire.CacheEventKind, []string, int)) *cache {
	return &cache{capacity: capacity, order: list.New(), at: map[string]*list.Element{}, changed: changed}
}

// match counts the leading pieces that the cache holds, and marks them as used.
func (c *cache) match(pieces []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(pieces) && c.at[pieces[n]] != nil {
		n++
	}
	c.touch(pieces[:n])
	return n
}

// store keeps as many leading pieces as the cache can hold.
func (c *cache) store(pieces []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pieces = pieces[:min(len(pieces), c.capacity)]
	stored := c.touch(pieces)
	evicted := c.trim()
	if len(evicted) > 0 {
		c.changed(wire.CacheEventKindEvicted, evicted, c.order.Len())
	}
	if len(stored) > 0 {
		c.changed(wire.CacheEventKindStored, stored, c.order.Len())
	}
}

// clear evicts all pieces.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var evicted []string
	for el := c.order.Back(); el != nil; el = el.Prev() {
		evicted = append(evicted, el.Value.(string))
	}
	c.order.Init()
	clear(c.at)
	if len(evicted) > 0 {
		c.changed(wire.CacheEventKindEvicted, evicted, 0)
	}
}

// touch marks pieces as used, the first as the newest, and returns those that are new.
func (c *cache) touch(pieces []string) []string {
	var added []string
	for _, name := range slices.Backward(pieces) {
		if el := c.at[name]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		c.at[name] = c.order.PushFront(name)
		added = append(added, name)
	}
	slices.Reverse(added)
	return added
}

func (c *cache) trim() []string {
	var evicted []string
	for c.order.Len() > c.capacity {
		name := c.order.Remove(c.order.Back()).(string)
		delete(c.at, name)
		evicted = append(evicted, name)
	}
	return evicted
}
