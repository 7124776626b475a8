package proof

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// mode is what a proxy does to a connection.
type mode int32

const (
	// pass carries both ways.
	pass mode = iota
	// cut refuses new connections and ends those that are open.
	cut
	// blackHole keeps connections open and carries nothing.
	blackHole
	// refuse resets new connections, so that their callers know that nothing was sent, and ends those that are open.
	refuse
	// loseAnswers carries what the client sends and drops what comes back, then ends the connection.
	loseAnswers
)

// listenTries bounds how often a proxy asks for another address when a run beside this one took its own.
const listenTries = 5

// proxy is a small fault-injecting TCP proxy.
type proxy struct {
	address string
	target  string
	port    *net.TCPListener
	mode    atomic.Int32
	delay   atomic.Int64
	mu      sync.Mutex
	open    map[net.Conn]bool
}

// newProxy starts a proxy in front of an address.
func newProxy(t testing.TB, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", freeAddress(t))
	for range listenTries {
		if err == nil {
			break
		}
		l, err = net.Listen("tcp", freeAddress(t))
	}
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{address: l.Addr().String(), target: target, port: l.(*net.TCPListener), open: map[net.Conn]bool{}}
	go p.accept(l)
	t.Cleanup(func() {
		l.Close()
		p.set(cut)
	})
	return p
}

// set changes what the proxy does; a cut and a refusal end what is open.
func (p *proxy) set(m mode) {
	before := mode(p.mode.Swap(int32(m)))
	if before != m && (m == refuse || before == refuse) {
		p.listen(m != refuse)
	}
	if m != cut && m != refuse {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.Close()
	}
}

// slow delays everything that comes back.
func (p *proxy) slow(d time.Duration) {
	p.delay.Store(int64(d))
}

func (p *proxy) is(m mode) bool {
	return mode(p.mode.Load()) == m
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if p.is(cut) {
			c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(client net.Conn) {
	defer p.forget(client)
	p.keep(client)
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer p.forget(server)
	p.keep(server)
	done := make(chan struct{}, 2)
	go func() {
		p.carry(server, client, false)
		done <- struct{}{}
	}()
	go func() {
		p.carry(client, server, true)
		done <- struct{}{}
	}()
	<-done
}

func (p *proxy) keep(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c] = true
}

func (p *proxy) forget(c net.Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

// carry copies one way; back tells that it carries answers.
func (p *proxy) carry(to io.Writer, from io.Reader, back bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.pass(to, buffer[:n], back) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) pass(to io.Writer, data []byte, back bool) bool {
	if d := time.Duration(p.delay.Load()); back && d > 0 {
		<-time.After(d)
	}
	switch {
	case p.is(blackHole):
		return true
	case p.is(cut), p.is(refuse), p.is(loseAnswers) && back:
		return false
	}
	_, err := to.Write(data)
	return err == nil
}
