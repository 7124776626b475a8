package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"cowslipshunt.example/platform/wire"
)

// store is a stand-in of the platform's metadata store. Its answers are linearizable and it loses nothing.
type store struct {
	address string

	mu      sync.Mutex
	version int
	rows    map[string]wire.Row
	history []wire.Row
	changed chan struct{}
	started time.Time
}

func startStore() *store {
	s := &store{rows: map[string]wire.Row{}, changed: make(chan struct{}), started: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+words["storeTransact"], s.transact)
	mux.HandleFunc("GET "+words["storeGet"], s.get)
	mux.HandleFunc("GET "+words["storeFeed"], s.feed)
	s.address = serveHTTP(mux)
	return s
}

// serveHTTP serves a handler on a free loopback port and returns its address.
func serveHTTP(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

func rowName(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes a row, as the operator or a replica does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	text := base64.StdEncoding.EncodeToString(value)
	s.apply(wire.Row{Table: table, Key: key, Value: &text})
	s.notify()
}

// remove deletes a row if it exists.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[rowName(table, "", key)]; !ok {
		return
	}
	s.version++
	s.drop(wire.Row{Table: table, Key: key})
	s.notify()
}

// apply stores a row at the present version.
func (s *store) apply(r wire.Row) {
	version := s.version
	r.RowVersion, r.Tombstone = &version, nil
	s.rows[rowName(r.Table, r.Part, r.Key)] = r
	s.history = append(s.history, r)
}

// drop deletes a row at the present version.
func (s *store) drop(r wire.Row) {
	version, gone := s.version, true
	r.RowVersion, r.Tombstone = &version, &gone
	delete(s.rows, rowName(r.Table, r.Part, r.Key))
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []wire.Row, more bool) {
	if rows == nil {
		rows = []wire.Row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(wire.RowsAnswer{Rows: rows, HasMore: more, RowVersion: s.version, NowMs: float64(time.Since(s.started).Milliseconds())})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx wire.RowsTx
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range tx.Puts {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	failed := false
	var current []wire.Row
	for _, p := range tx.Precondition {
		have, ok := s.rows[rowName(p.Table, p.Part, p.Key)]
		version := 0
		if ok {
			version = *have.RowVersion
			current = append(current, have)
		}
		failed = failed || version != p.RowVersion
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.version++
	for _, p := range tx.Puts {
		value := p.Value
		s.apply(wire.Row{Table: p.Table, Part: p.Part, Key: p.Key, Value: &value})
	}
	for _, p := range tx.Remove {
		s.drop(wire.Row{Table: p.Table, Part: p.Part, Key: p.Key})
	}
	s.notify()
	s.answer(w, http.StatusOK, nil, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []wire.Row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			found = append(found, x)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > limit
	s.answer(w, http.StatusOK, found[:min(limit, len(found))], more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.Atoi(q.Get("after"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		var found []wire.Row
		for _, x := range s.history {
			if x.Table == q.Get("table") && *x.RowVersion > after {
				found = append(found, x)
			}
		}
		if len(found) > 0 || !waiting {
			s.answer(w, http.StatusOK, found, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			waiting = false
		}
	}
}

// startCloud starts a stand-in of the platform's duty interface, which accepts every call.
func startCloud() string {
	return serveHTTP(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
}
