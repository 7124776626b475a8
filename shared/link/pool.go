package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Bounds of idle connections.
const (
	// defaultIdle is how long a connection stays idle if the endpoint says nothing of it.
	defaultIdle = 10 * time.Second
	// idleMargin is how long before the endpoint's own limit a connection is no longer used.
	idleMargin = time.Second
	// maxIdle bounds the idle connections to one endpoint.
	maxIdle = 32
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pool keeps idle connections by K, which names one incarnation of an endpoint: addresses are used again.
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

// Get returns an idle connection that is still open, or opens one.
func (p *Pool[K]) Get(ctx context.Context, key K, address string) (*Conn, error) {
	for {
		c := p.take(key)
		if c == nil {
			break
		}
		if p.clock.Now().Before(c.idleUntil) && c.alive() {
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

func (p *Pool[K]) take(key K) *Conn {
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

// Put keeps a connection after an exchange that left it clean. A keepAlive of zero means that the endpoint did not say how
// long it keeps idle connections.
func (p *Pool[K]) Put(key K, c *Conn, keepAlive time.Duration) {
	if !c.release() {
		return
	}
	if keepAlive <= 0 {
		keepAlive = defaultIdle
	}
	c.idleUntil = p.clock.Now().Add(keepAlive - idleMargin)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) >= maxIdle {
		c.Close()
		return
	}
	p.idle[key] = append(p.idle[key], c)
}

// Retain closes the idle connections to all incarnations that keep does not name, and those that were idle for too long.
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
