package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cowslipshunt.example/platform/wire"
)

// heartbeat is heartbeat_ms of the settings.
const heartbeat = 1200 * time.Millisecond

// call is one request at a replica, with what the replica's behaviour needs to answer it.
type call struct {
	ctx  context.Context
	req  *http.Request
	body []byte
	id   string
	conn net.Conn
	rep  *replica
}

// replica is a stand-in of a replica: it registers itself, checks the expected instance, queues and runs requests, and stops work when
// the connection closes or the deadline passes.
type replica struct {
	id, service, zone, stage string
	slots, queue             int
	// run answers a request that has a slot. It returns false if the connection has to be closed.
	run func(c *call) bool
	// reject is asked before a request takes a slot. It returns the text of a rejection, or "".
	reject func(c *call) string
	// pause is called before each event of a stream, and may wait.
	pause func(c *call)
	store *store
	rec   *record

	mu       sync.Mutex
	address  string
	born     int64
	sequence int
	state    string
	listener net.Listener
	conns    map[net.Conn]bool
	up       bool
	running  chan struct{}
	waiting  int
}

// start makes a new incarnation of the replica accept connections, on its former address if it had one.
func (r *replica) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	address := r.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		cannotRun("listen on %s: %v", address, err)
	}
	r.address, r.listener, r.conns, r.up = l.Addr().String(), l, map[net.Conn]bool{}, true
	r.born, r.sequence, r.state = time.Now().UnixMilli(), 0, "ready"
	r.running, r.waiting = make(chan struct{}, r.slots), 0
	go r.accept(l, r.running)
}

// crash closes the listener and resets all connections. It reports whether the replica was up.
func (r *replica) crash() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return false
	}
	r.up = false
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	return true
}

// beat writes the replica's entry, as a replica does every heartbeat.
func (r *replica) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.sequence++
	version, cold, sequence, born := "v1", 0.0, r.sequence, int(r.born)
	entry := wire.ReplicaEntry{
		Service: r.service, Address: r.address, Zone: r.zone, Version: &version, Slots: r.slots, State: r.state, ColdLeftMs: &cold,
		Sequence: &sequence, Born: &born,
	}
	if r.stage != "" {
		model := 1
		entry.Stage, entry.Models = &r.stage, []wire.LoadedModel{{Name: "m", Version: &model}}
	}
	value, _ := json.Marshal(entry)
	r.store.put("servers", r.id, value)
}

// beatForever writes the entry at once and then every heartbeat, whether or not the replica was restarted meanwhile.
func (r *replica) beatForever() {
	r.beat()
	for range time.Tick(heartbeat) {
		r.beat()
	}
}

func (r *replica) accept(l net.Listener, slots chan struct{}) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if !r.up || r.listener != l {
			r.mu.Unlock()
			_ = c.Close()
			continue
		}
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c, slots)
	}
}

func (r *replica) serve(c net.Conn, slots chan struct{}) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReaderSize(c, 64<<10)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		if ms, err := strconv.Atoi(req.Header.Get(words["deadline"])); err == nil {
			ctx, cancel = context.WithTimeout(context.Background(), time.Duration(ms)*time.Millisecond)
		}
		peeked := make(chan struct{})
		go func() {
			defer close(peeked)
			if _, err := in.Peek(1); err != nil {
				cancel()
			}
		}()
		keep := r.handle(&call{ctx: ctx, req: req, body: body, id: req.Header.Get(words["requestID"]), conn: c, rep: r}, slots)
		cancel()
		if !keep {
			return
		}
		<-peeked
	}
}

// handle answers one request and reports whether the connection stays open.
func (r *replica) handle(c *call, slots chan struct{}) bool {
	if want := c.req.Header.Get(words["expectInstance"]); want != "" && want != r.id {
		return c.send("421 Misdirected Request", field("instance", r.id)+notRun, "")
	}
	if strings.HasPrefix(c.req.URL.Path, "/v1/") {
		return c.send("200 OK", "", "")
	}
	r.rec.add("%s at %s (start %d): arrives, %d bytes", c.id, r.id, r.incarnation(), len(c.body))
	if r.reject != nil {
		if extra := r.reject(c); extra != "" {
			return c.send("503 Service Unavailable", notRun+extra, "")
		}
	}
	select {
	case slots <- struct{}{}:
	default:
		r.mu.Lock()
		full := r.waiting >= r.queue
		if !full {
			r.waiting++
		}
		r.mu.Unlock()
		if full {
			r.rec.add("%s at %s: rejected, full", c.id, r.id)
			return c.send("503 Service Unavailable", notRun, "")
		}
		taken := false
		select {
		case slots <- struct{}{}:
			taken = true
		case <-c.ctx.Done():
		}
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
		if !taken {
			if c.ctx.Err() == context.DeadlineExceeded {
				return c.send("503 Service Unavailable", notRun, "")
			}
			return false
		}
	}
	defer func() { <-slots }()
	r.rec.add("%s at %s: runs", c.id, r.id)
	return r.run(c)
}

func (r *replica) incarnation() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.born
}

func (r *replica) setState(state string) {
	r.mu.Lock()
	r.state = state
	r.mu.Unlock()
}

func (c *call) ids() string {
	return field("requestID", c.id)
}

// send writes a complete answer without a seal unless extra has one.
func (c *call) send(status, extra, body string) bool {
	_, err := fmt.Fprintf(c.conn, "HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, c.ids(), extra, len(body), body)
	return err == nil
}

// sleep waits while the replica works and reports whether it may go on.
func (c *call) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.ctx.Done():
		return false
	}
}

// answerAfter works for a time and answers with a short body.
func answerAfter(d time.Duration) func(c *call) bool {
	return func(c *call) bool {
		if !c.sleep(d) {
			return false
		}
		return c.send("200 OK", seal, "done "+c.id+"\n")
	}
}

// beginStream writes the head of a stream.
func (c *call) beginStream() bool {
	_, err := fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\n%s%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", c.ids(), seal)
	return err == nil
}

// event writes one event of a stream.
func (c *call) event(n int) bool {
	text := fmt.Sprintf("id: %d\ndata: %s token %d\n\n", n, c.id, n)
	_, err := fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(text), text)
	return err == nil
}

func (c *call) endStream() bool {
	_, err := io.WriteString(c.conn, "0\r\n\r\n")
	return err == nil
}

// stream answers with a number of events at an interval, from the one after Last-Event-Id.
func stream(events int, first, gap time.Duration) func(c *call) bool {
	return func(c *call) bool {
		from := 0
		if n, err := strconv.Atoi(c.req.Header.Get("Last-Event-Id")); err == nil {
			from = n
		}
		if !c.sleep(first) || !c.beginStream() {
			return false
		}
		for n := from + 1; n <= events; n++ {
			if c.rep.pause != nil {
				c.rep.pause(c)
			}
			if !c.event(n) || !c.sleep(gap) {
				c.rep.rec.add("%s at %s: broken off by the caller after event %d of %d", c.id, c.rep.id, n, events)
				return false
			}
		}
		return c.endStream()
	}
}
