package main

import (
	"strings"
	"sync"
)

// connPool holds a client's kept connections to one router.
type connPool struct {
	mu   sync.Mutex
	idle []*clientConn
}

func (p *connPool) get() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *connPool) put(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// passedOn reports whether a request has reached a replica.
func passedOn(id string) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, line := range rec.lines {
		if strings.Contains(line, id+" at ") {
			return true
		}
	}
	return false
}
