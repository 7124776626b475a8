package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/platform/wire"
)

// heartbeat is the interval of the servers' heartbeats; an entry is removed after silentHeartbeats of silence.
const (
	heartbeat        = 1200 * time.Millisecond
	silentHeartbeats = 3
	swapTime         = 3 * time.Second
)

// server is a stand-in of a server at one address, of which one incarnation after the other runs.
type server struct {
	w              *world
	service, stage string
	zone, address  string
	// serve answers a request; it is called once the server has checked for which server it is.
	serve func(s *server, w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	weights  int
	listener net.Listener
	conns    map[net.Conn]struct{}
	// swapping is set while an order is carried out.
	swapping bool
	crashes  atomic.Int64
	// lag is how long after its start an incarnation that follows a crash writes its entry.
	lag time.Duration
}

var serverCount atomic.Int64

// newID returns an id that no server had before.
func newID() string {
	return fmt.Sprintf("i-%08x", 0x7f3a9000+serverCount.Add(1))
}

// addServer adds a server and starts it.
func (w *world) addServer(service, stage, zone, ip string, serve func(s *server, w http.ResponseWriter, r *http.Request)) *server {
	s := &server{w: w, service: service, stage: stage, zone: zone, address: ip + ":0", serve: serve, weights: 1, conns: map[net.Conn]struct{}{}}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	s.start(newID())
	return s
}

// start starts an incarnation with an id and lists it.
func (s *server) start(id string) {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		exitUnplayed(err.Error())
	}
	s.mu.Lock()
	s.address = l.Addr().String()
	s.id, s.born, s.sequence, s.listener = id, time.Now().UnixMilli(), 0, l
	born := s.born
	s.mu.Unlock()
	srv := &http.Server{Handler: http.HandlerFunc(s.handle), ConnState: s.track, IdleTimeout: 20 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	go func() { _ = srv.Serve(l) }()
	// An incarnation under an id that is still listed writes its entry with its first heartbeat.
	if s.lag > 0 && s.crashes.Load() > 0 {
		time.AfterFunc(s.lag, s.list)
	} else {
		s.list()
	}
	s.w.rec.add("server %s (%s %s) starts to serve, born %d", id, s.service, s.stage, born)
}

type connKey struct{}

func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// list writes the server's entry.
func (s *server) list() {
	s.mu.Lock()
	defer s.mu.Unlock()
	born, cold, version := int(s.born), 0.0, "v1"
	entry := wire.ReplicaEntry{Service: s.service, Address: s.address, Zone: s.zone, Version: &version, Slots: 6, State: "ready", ColdLeftMs: &cold,
		Sequence: &s.sequence, Born: &born}
	if s.stage != "" {
		entry.Slots, entry.Stage, entry.Models = 64, &s.stage, []wire.LoadedModel{{Name: "m", Version: &s.weights}}
	}
	text, err := json.Marshal(entry)
	if err != nil {
		exitUnplayed(err.Error())
	}
	s.w.store.Put("servers", s.id, string(text))
	s.w.rec.add("server %s writes its entry, born %d", s.id, s.born)
}

// crash ends the incarnation as the end of its process does: its connections are reset, and it sends nothing more. After a time another
// incarnation starts at the address. The entry is removed if the silence has lasted for too long by then. It reports whether the incarnation
// was up.
func (s *server) crash(down time.Duration, nextID func(id string) string) bool {
	s.mu.Lock()
	l, conns, id := s.listener, s.conns, s.id
	if l == nil {
		s.mu.Unlock()
		return false
	}
	s.listener, s.conns = nil, map[net.Conn]struct{}{}
	s.mu.Unlock()
	s.crashes.Add(1)
	_ = l.Close()
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	s.w.rec.add("server %s crashes", id)
	next := nextID(id)
	if silence := silentHeartbeats * heartbeat; next != id || down > silence {
		time.AfterFunc(silence, func() { s.w.store.Delete("servers", id) })
	}
	time.AfterFunc(down, func() { s.start(next) })
	return true
}

// handle answers what each server answers alike, and passes the rest on.
func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id, stage, swapping := s.id, s.stage, s.swapping
	s.mu.Unlock()
	if expected := r.Header.Get(words.ExpectedID); expected != "" && expected != id {
		w.Header().Set(words.RequestID, platformtest.RequestID(r.Header))
		w.Header().Set(words.InstanceID, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == words.OrderPath {
		s.order(w, r)
		return
	}
	w.Header().Set(words.RequestID, platformtest.RequestID(r.Header))
	prefill := r.Header.Get(words.Stage) == "prefill"
	switch {
	case swapping:
		notRun(w, http.StatusServiceUnavailable)
	case stage != "" && prefill != (stage == "prefill"):
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		s.serve(s, w, r)
	}
}

// notRun answers that the server has not run the request.
func notRun(w http.ResponseWriter, status int) {
	w.Header().Set(words.NotRun, "1")
	w.WriteHeader(status)
}

// order carries out an order to change the stage.
func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var order wire.StageOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.w.rec.add("server %s gets the order %s from %s, token %d", s.id, order.Stage, order.Holder, order.FencingToken)
	switch {
	case s.swapping:
		w.WriteHeader(http.StatusConflict)
		return
	case s.stage == order.Stage:
		w.WriteHeader(http.StatusOK)
		return
	}
	s.swapping = true
	s.sequence++
	time.AfterFunc(swapTime, func() {
		s.mu.Lock()
		s.swapping, s.stage = false, order.Stage
		up := s.listener != nil
		s.mu.Unlock()
		if up {
			s.list()
		}
	})
	w.WriteHeader(http.StatusAccepted)
}

// stream answers with a stream of events.
func stream(w http.ResponseWriter, r *http.Request, events int, first, pause time.Duration) {
	w.Header().Set(words.Seal, "3e1b.07.5a2.600.0.c9f2a4d1")
	w.Header().Set(words.Weights, "1")
	w.Header().Set("Content-Type", "text/event-stream")
	wait := first
	for n := range events {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
		wait = pause
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n+1, n+1); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	err    error
}

// client sends a request to a router and reads the whole answer.
func send(ctx context.Context, rt *router, method, path, id, key string, deadline time.Duration, header map[string]string, body string) answer {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", rt.caller)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, words.RequestID, id, words.Deadline, deadline.Milliseconds(), key)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(data), err: err}
}

// isReady reports whether the router answers the question whether it is ready with 200.
func (r *router) isReady() bool {
	c := &http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + r.ready + words.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// prompt returns the header of a request with a prompt of parts of 100 tokens.
func prompt(parts ...string) map[string]string {
	list := make([]string, 0, len(parts))
	for _, p := range parts {
		list = append(list, p+":100")
	}
	return map[string]string{words.Model: "m", words.Tokens: fmt.Sprintf("%d,20", 100*len(parts)),
		words.Parts: strings.Join(list, ",")}
}
