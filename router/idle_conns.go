package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes callers' connections that have been idle for longer than the configuration allows. The idle timeout of
// http.Server cannot change while the server runs.
type idleConns struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

func newIdleConns() *idleConns {
	return &idleConns{idleSince: map[net.Conn]time.Time{}}
}

// connState records when a connection becomes idle. It is a callback for http.Server.ConnState.
func (i *idleConns) connState(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.idleSince[c] = time.Now()
		return
	}
	delete(i.idleSince, c)
}

// closeExpired closes the connections that have been idle for longer than timeout, and returns how many these were.
func (i *idleConns) closeExpired(timeout time.Duration) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	closed := 0
	for c, since := range i.idleSince {
		if time.Since(since) > timeout {
			_ = c.Close()
			delete(i.idleSince, c)
			closed++
		}
	}
	return closed
}
