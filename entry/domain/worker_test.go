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

const text = `
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

// world is the platform and two engines behind HTTP.
type world struct {
	mu        sync.Mutex
	table     *tabletest.Table
	endpoints wire.EndpointList
	engines   map[wire.EndpointId]*wire.EngineState
	orders    []wire.EngineOrder
}

func answer[In, Out any](wo *world, do func(In) Out) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		wo.mu.Lock()
		defer wo.mu.Unlock()
		var in In
		_ = json.NewDecoder(r.Body).Decode(&in)
		_ = json.NewEncoder(w).Encode(do(in))
	}
}

func newWorld(t *testing.T) (*world, string) {
	wo := &world{table: tabletest.New(), engines: map[wire.EndpointId]*wire.EngineState{}}
	mux := http.NewServeMux()
	mux.Handle("POST /table/read", answer(wo, func(r wire.ReadRequest) wire.RowsAnswer {
		rows, _ := wo.table.Read(t.Context(), r.Table, r.Keys...)
		return wire.RowsAnswer{Rows: rows}
	}))
	mux.Handle("POST /table/scan", answer(wo, func(r wire.ScanRequest) wire.RowsAnswer {
		rows, _ := wo.table.Scan(t.Context(), r.Table, r.Prefix, r.After, r.Limit)
		return wire.RowsAnswer{Rows: rows}
	}))
	mux.Handle("POST /table/transact", answer(wo, wo.table.Commit))
	mux.Handle("GET /endpoints", answer(wo, func(struct{}) wire.EndpointList { return wo.endpoints }))
	mux.Handle("GET /instances", answer(wo, func(struct{}) wire.InstanceList { return wire.InstanceList{} }))
	mux.HandleFunc("GET /objects/{name}", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) })
	for _, id := range []wire.EndpointId{"e0", "e1"} {
		wo.addEngine(t, id)
	}
	row, err := json.Marshal(wire.DocumentRow{Version: 1, Digest: document.Digest([]byte(text))})
	if err != nil {
		t.Fatal(err)
	}
	wo.table.Commit(wire.TransactRequest{Writes: []wire.Write{{Table: "document", Key: "current", Value: row}}})
	return wo, serve(t, mux)
}

func serve(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (wo *world) addEngine(t *testing.T, id wire.EndpointId) {
	state := &wire.EngineState{Endpoint: id, Model: "m", ModelVersion: "1"}
	mux := http.NewServeMux()
	mux.Handle("GET /state", answer(wo, func(struct{}) wire.EngineState { return *state }))
	mux.Handle("POST /orders", answer(wo, func(o wire.EngineOrder) wire.EngineOrderAnswer {
		wo.orders = append(wo.orders, o)
		state.ModelVersion, state.LastOrder, state.LastOrderDone = o.ModelVersion, o.Order, true
		return wire.EngineOrderAnswer{Order: o.Order, Accepted: true}
	}))
	wo.engines[id] = state
	wo.endpoints.Endpoints = append(wo.endpoints.Endpoints, wire.EndpointRecord{Endpoint: id, Domain: "d", Kind: "k", Address: serve(t, mux)})
}

func (wo *world) ordered() int {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return len(wo.orders)
}

// entry answers drains with what is in flight.
type entry struct {
	hub    *channel.Hub
	flight chan int
	begun  chan wire.DrainBegin
	ended  chan wire.DrainEnd
}

func newEntry(t *testing.T, ctx context.Context) (*entry, string) {
	logger := process.NewLogger(io.Discard, "error", "entry", "a")
	e := &entry{
		hub:    channel.NewHub(wire.Hello{Instance: "a", Incarnation: "a1", Program: wire.ProgramEntry}, logger),
		flight: make(chan int, 1),
		begun:  make(chan wire.DrainBegin, 1024),
		ended:  make(chan wire.DrainEnd, 1024),
	}
	router, err := channel.NewRouter(logger)
	if err != nil {
		t.Fatal(err)
	}
	channel.Handle(router, e.hub, "DrainBegin", func(_ context.Context, from wire.InstanceName, d wire.DrainBegin) error {
		n := <-e.flight
		e.flight <- n
		e.begun <- d
		return channel.Send(e.hub, from, "DrainAnswer", wire.DrainAnswer{Order: d.Order, Endpoint: d.Endpoint, Instance: "a", Incarnation: "a1", InFlight: n})
	})
	channel.Handle(router, e.hub, "DrainEnd", func(_ context.Context, _ wire.InstanceName, d wire.DrainEnd) error {
		e.ended <- d
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

func TestAnOrderWaitsForTheDrainOfEveryEntry(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	wo, address := newWorld(t)
	e, entryAddress := newEntry(t, ctx)
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
	e.flight <- 1
	var first wire.DrainBegin
	for answered := 0; answered < 5; {
		w.Tick(ctx)
		select {
		case first = <-e.begun:
			answered++
		case <-ctx.Done():
			t.Fatal("no drain began")
		default:
		}
	}
	if n := wo.ordered(); n != 0 {
		t.Fatalf("%d orders were given with requests in flight", n)
	}
	<-e.flight
	e.flight <- 0
	for ended := 0; ended < 2 && ctx.Err() == nil; {
		w.Tick(ctx)
		select {
		case d := <-e.ended:
			ended++
			if ended == 1 && d.Order != first.Order {
				t.Errorf("drain of %s ended first, want %s", d.Order, first.Order)
			}
		default:
		}
	}
	if n := wo.ordered(); n != 2 {
		t.Errorf("%d orders were given, want one for each engine", n)
	}
}
