package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes callers' connections that were idle for longer than the configuration allows. net/http's own limit
// cannot change while the server runs.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns() *idleConns {
	return &idleConns{since: map[net.Conn]time.Time{}}
}

// note keeps the time since when a connection is idle.
func (i *idleConns) note(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// closeOlder closes the connections that were idle for longer than limit.
func (i *idleConns) closeOlder(limit time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if time.Since(since) > limit {
			_ = c.Close()
			delete(i.since, c)
		}
	}
}
