package proof

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// mode is what a proxy does with connections.
type mode int32

const (
	// pass forwards data in both directions.
	pass mode = iota
	// cut closes new connections once accepted, and closes open ones.
	cut
	// blackHole keeps connections open and drops all data.
	blackHole
	// refuse stops listening, so that new connections are refused and their clients can tell that nothing was sent, and
	// closes open ones.
	refuse
	// loseAnswers forwards what the client sends, drops the answer, and closes the connection.
	loseAnswers
)

// maxListenAttempts bounds how often a proxy tries another address after a concurrent test run has taken the first one.
const maxListenAttempts = 5

// proxy is a small fault-injecting TCP proxy.
type proxy struct {
	address  string
	target   string
	listener *net.TCPListener
	mode     atomic.Int32
	delay    atomic.Int64
	mu       sync.Mutex
	open     map[net.Conn]bool
}

// newProxy starts a proxy in front of an address.
func newProxy(t testing.TB, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", freeAddress(t))
	for range maxListenAttempts {
		if err == nil {
			break
		}
		l, err = net.Listen("tcp", freeAddress(t))
	}
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{address: l.Addr().String(), target: target, listener: l.(*net.TCPListener), open: map[net.Conn]bool{}}
	go p.accept(l)
	t.Cleanup(func() {
		l.Close()
		p.setMode(cut)
	})
	return p
}

// setMode changes what the proxy does; cut and refuse also close open connections.
func (p *proxy) setMode(m mode) {
	before := mode(p.mode.Swap(int32(m)))
	if before != m && (m == refuse || before == refuse) {
		p.setListening(m != refuse)
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

// setDelay delays all data from the target to the client.
func (p *proxy) setDelay(d time.Duration) {
	p.delay.Store(int64(d))
}

func (p *proxy) inMode(m mode) bool {
	return mode(p.mode.Load()) == m
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if p.inMode(cut) {
			c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(client net.Conn) {
	defer p.closeAndUntrack(client)
	p.track(client)
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer p.closeAndUntrack(server)
	p.track(server)
	done := make(chan struct{}, 2)
	go func() {
		p.copyBytes(server, client, false)
		done <- struct{}{}
	}()
	go func() {
		p.copyBytes(client, server, true)
		done <- struct{}{}
	}()
	<-done
}

func (p *proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c] = true
}

func (p *proxy) closeAndUntrack(c net.Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

// copyBytes copies data in one direction. toClient is true for the direction of the answers.
func (p *proxy) copyBytes(to io.Writer, from io.Reader, toClient bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.forward(to, buffer[:n], toClient) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward writes data as the mode says, and reports whether to go on copying.
func (p *proxy) forward(to io.Writer, data []byte, toClient bool) bool {
	if d := time.Duration(p.delay.Load()); toClient && d > 0 {
		<-time.After(d)
	}
	switch {
	case p.inMode(blackHole):
		return true
	case p.inMode(cut), p.inMode(refuse), p.inMode(loseAnswers) && toClient:
		return false
	}
	_, err := to.Write(data)
	return err == nil
}
