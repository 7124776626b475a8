package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Limits on idle connections.
const (
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint does not say how long it keeps one.
	defaultIdleTimeout = 10 * time.Second
	// idleMargin is how long before the end of its idle time a connection is no longer reused.
	idleMargin = time.Second
	// maxIdlePerEndpoint is the maximum number of idle connections to one endpoint.
	maxIdlePerEndpoint = 32
)

// DialFunc opens a connection, as DialContext of net.Dialer does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pool keeps idle connections. The key K identifies one incarnation of an endpoint, as an address may be used again by another
// endpoint.
type Pool[K comparable] struct {
	clock clockwork.Clock
	dial  DialFunc

	mu   sync.Mutex
	idle map[K][]*Conn
}

// NewPool returns an empty pool.
func NewPool[K comparable](clock clockwork.Clock, dial DialFunc) *Pool[K] {
	return &Pool[K]{clock: clock, dial: dial, idle: map[K][]*Conn{}}
}

// Get returns an idle connection to an endpoint that is still open, or opens a new one.
func (p *Pool[K]) Get(ctx context.Context, key K, address string) (*Conn, error) {
	for {
		c := p.pop(key)
		if c == nil {
			break
		}
		if p.clock.Now().Before(c.idleUntil) && c.isOpen() {
			c.Reused = true
			return c, nil
		}
		c.Close()
	}
	c, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

// pop removes and returns the most recently used idle connection, or nil if there is none.
func (p *Pool[K]) pop(key K) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[key] = list[:len(list)-1]
	return c
}

// Put returns a connection to the pool after an exchange, if it is Reusable. keepAlive is how long the endpoint keeps idle
// connections; zero means that it did not say. If the exchange's context has ended, the connection is discarded.
func (p *Pool[K]) Put(key K, c *Conn, keepAlive time.Duration) {
	if !c.detach() {
		return
	}
	if keepAlive <= 0 {
		keepAlive = defaultIdleTimeout
	}
	c.idleUntil = p.clock.Now().Add(keepAlive - idleMargin)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) >= maxIdlePerEndpoint {
		c.Close()
		return
	}
	p.idle[key] = append(p.idle[key], c)
}

// Retain closes the idle connections for whose key keep returns false, and those that have been idle for too long.
func (p *Pool[K]) Retain(keep func(K) bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(key) && now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
}
