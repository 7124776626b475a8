package domain_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"cowslipshunt.example/entry/domain"
	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/platform"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/shared/tabletest"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
)

const testTimeout = 10 * time.Second

const testDocument = `
[[Model]]
Name = "m"
Version = "2"
[[EndpointKind]]
Name = "k"
Serves = "Model"
Model = "m"
Concurrency = 1
[[Fleet]]
Domain = "d"
Kind = "k"
Count = 2
`

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeDomain is a fake platform with two fake engines, all served over HTTP.
type fakeDomain struct {
	mu        sync.Mutex
	table     *tabletest.Table
	endpoints wire.EndpointList
	engines   map[wire.EndpointId]*wire.EngineState
	orders    []wire.EngineOrder
	// silent is the engine that does not answer polls.
	silent wire.EndpointId
}

// lockedJSON returns a handler that decodes a JSON body, calls do under the domain's lock and encodes the result.
func lockedJSON[In, Out any](f *fakeDomain, do func(In) Out) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		var in In
		_ = json.NewDecoder(r.Body).Decode(&in)
		_ = json.NewEncoder(w).Encode(do(in))
	}
}

func newFakeDomain(t *testing.T) (*fakeDomain, string) {
	f := &fakeDomain{table: tabletest.New(), engines: map[wire.EndpointId]*wire.EngineState{}}
	mux := http.NewServeMux()
	mux.Handle("POST /table/read", lockedJSON(f, func(r wire.ReadRequest) wire.RowsAnswer {
		rows, _ := f.table.Read(t.Context(), r.Table, r.Keys...)
		return wire.RowsAnswer{Rows: rows}
	}))
	mux.Handle("POST /table/scan", lockedJSON(f, func(r wire.ScanRequest) wire.RowsAnswer {
		rows, _ := f.table.Scan(t.Context(), r.Table, r.Prefix, r.After, r.Limit)
		return wire.RowsAnswer{Rows: rows}
	}))
	mux.Handle("POST /table/transact", lockedJSON(f, f.table.Commit))
	mux.Handle("GET /endpoints", lockedJSON(f, func(struct{}) wire.EndpointList { return f.endpoints }))
	mux.Handle("GET /instances", lockedJSON(f, func(struct{}) wire.InstanceList { return wire.InstanceList{} }))
	mux.HandleFunc("GET /objects/{name}", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, testDocument) })
	for _, id := range []wire.EndpointId{"e0", "e1"} {
		f.addEngine(t, id)
	}
	row, err := json.Marshal(wire.DocumentRow{Version: 1, Digest: document.Digest([]byte(testDocument))})
	if err != nil {
		t.Fatal(err)
	}
	f.table.Commit(wire.TransactRequest{Writes: []wire.Write{{Table: "document", Key: "current", Value: row}}})
	return f, serve(t, mux)
}

func serve(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (f *fakeDomain) addEngine(t *testing.T, id wire.EndpointId) {
	state := &wire.EngineState{Endpoint: id, Model: "m", ModelVersion: "1"}
	mux := http.NewServeMux()
	mux.Handle("GET /state", lockedJSON(f, func(struct{}) wire.EngineState {
		if f.silent == id {
			return wire.EngineState{}
		}
		return *state
	}))
	mux.Handle("POST /orders", lockedJSON(f, func(o wire.EngineOrder) wire.EngineOrderAnswer {
		f.orders = append(f.orders, o)
		state.ModelVersion, state.LastOrder, state.LastOrderDone = o.ModelVersion, o.Order, true
		return wire.EngineOrderAnswer{Order: o.Order, Accepted: true}
	}))
	f.engines[id] = state
	f.endpoints.Endpoints = append(f.endpoints.Endpoints, wire.EndpointRecord{Endpoint: id, Domain: "d", Kind: "k", Address: serve(t, mux)})
}

// orderCount returns the number of orders that the engines got.
func (f *fakeDomain) orderCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}

// fakeEntry is an entry's end of the control links. It answers each DrainBegin with the number in inFlight.
type fakeEntry struct {
	hub         *channel.Hub
	inFlight    chan int
	drainBegins chan wire.DrainBegin
	drainEnds   chan wire.DrainEnd
}

func newFakeEntry(t *testing.T, ctx context.Context) (*fakeEntry, string) {
	logger := process.NewLogger(io.Discard, "error", "entry", "a")
	e := &fakeEntry{
		hub:         channel.NewHub(wire.Hello{Instance: "a", Incarnation: "a1", Program: wire.ProgramEntry}, logger),
		inFlight:    make(chan int, 1),
		drainBegins: make(chan wire.DrainBegin, 1024),
		drainEnds:   make(chan wire.DrainEnd, 1024),
	}
	router, err := channel.NewRouter(logger)
	if err != nil {
		t.Fatal(err)
	}
	channel.Handle(router, e.hub, "DrainBegin", func(_ context.Context, from wire.InstanceName, d wire.DrainBegin) error {
		n := <-e.inFlight
		e.inFlight <- n
		e.drainBegins <- d
		return channel.Send(e.hub, from, "DrainAnswer", wire.DrainAnswer{Order: d.Order, Endpoint: d.Endpoint, Instance: "a", Incarnation: "a1", InFlight: n})
	})
	channel.Handle(router, e.hub, "DrainEnd", func(_ context.Context, _ wire.InstanceName, d wire.DrainEnd) error {
		e.drainEnds <- d
		return nil
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = router.Run(ctx)
	}()
	<-router.Running()
	address := serve(t, e.hub)
	t.Cleanup(func() {
		_ = e.hub.Close()
		<-done
	})
	return e, address
}

// TestOrderWaitsForDrainOfEveryEntry has an entry answer five drains with a request in flight, and then with none. It guards
// against an order to an engine before the entry confirmed the drain, and against drains that are not ended after their orders.
func TestOrderWaitsForDrainOfEveryEntry(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	f, address := newFakeDomain(t)
	e, entryAddress := newFakeEntry(t, ctx)
	t.Cleanup(cancel)
	clock := clockwork.NewRealClock()
	client := platform.NewClient(address)
	keeper := lease.NewKeeper(lease.Domain("d"), lease.Identity{Instance: "c", Incarnation: "c1"}, client, lease.NewSystemClock(clock), lease.WithTerm(2*testTimeout))
	if err := keeper.Step(ctx); err != nil {
		t.Fatal(err)
	}
	w := domain.NewWorker(domain.Config{
		Self:         wire.Hello{Instance: "c", Incarnation: "c1", Domain: "d", Program: wire.ProgramDuties},
		Entries:      []domain.Entry{{Instance: "a", Address: entryAddress}},
		Platform:     client,
		Keeper:       keeper,
		Sender:       domain.NewSender(keeper, address, time.Second),
		Poller:       domain.NewPoller(time.Second),
		OrderTimeout: time.Second,
		Clock:        clock,
		Logger:       process.NewLogger(io.Discard, "error", "entry", "c"),
	})
	defer http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	defer w.Close()
	e.inFlight <- 1
	var first wire.DrainBegin
	for answered := 0; answered < 5; {
		w.Tick(ctx)
		select {
		case first = <-e.drainBegins:
			answered++
		case <-ctx.Done():
			t.Fatal("no drain began")
		default:
		}
	}
	if n := f.orderCount(); n != 0 {
		t.Fatalf("%d orders were sent to engines with requests in flight, want 0", n)
	}
	<-e.inFlight
	e.inFlight <- 0
	for ended := 0; ended < 2 && ctx.Err() == nil; {
		w.Tick(ctx)
		select {
		case d := <-e.drainEnds:
			ended++
			if ended == 1 && d.Order != first.Order {
				t.Errorf("drain of %s ended first, want %s", d.Order, first.Order)
			}
		default:
		}
	}
	if n := f.orderCount(); n != 2 {
		t.Errorf("%d orders were sent to engines, want one for each of 2", n)
	}
}
