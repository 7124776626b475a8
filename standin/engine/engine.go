package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"cowslipshunt.example/shared/standin"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
)

// Reasons why an engine rejects a request or aborts a running one.
var (
	errUnavailable    = errors.New("engine is away for an order")
	errAbortedByOrder = errors.New("request was aborted by an order")
)

// modelError is the error for a request whose model is not loaded.
type modelError struct {
	Model wire.ModelName
}

// Error names the model.
func (e *modelError) Error() string {
	return fmt.Sprintf("model %q is not loaded", e.Model)
}

// engine runs completions and orders.
type engine struct {
	cfg      settings
	clock    clockwork.Clock
	logger   *log.Logger
	counters *counters
	slots    *slots
	cache    *cache
	events   *eventLog
	loads    *loadHistory
	requests *standin.Journal[*record]
	orders   *standin.Journal[wire.EngineOrderReceived]
	fault    standin.Fault[wire.EngineFault]
	lifetime context.Context
	close    context.CancelFunc

	// mu guards the fields below.
	mu      sync.Mutex
	state   wire.EngineState
	stopped bool
	// pendingOrders counts accepted orders that are not done; the engine rejects requests while there are any.
	pendingOrders int
	// ordersDone is closed when all orders accepted so far are done.
	ordersDone   chan struct{}
	orderAnswers map[wire.OrderId]wire.EngineOrderAnswer
	// serving is cancelled when an order is accepted, which aborts the running requests; it is renewed when no order is pending.
	serving     context.Context
	stopServing context.CancelFunc
	lastRequest wire.RequestId
}

// option configures an engine.
type option func(*engine)

func withClock(clock clockwork.Clock) option {
	return func(e *engine) {
		e.clock = clock
	}
}

func withLogger(logger *log.Logger) option {
	return func(e *engine) {
		e.logger = logger
	}
}

func newEngine(cfg settings, opts ...option) *engine {
	e := &engine{
		cfg:          cfg,
		clock:        clockwork.NewRealClock(),
		logger:       &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
		counters:     newCounters(),
		requests:     standin.NewJournal[*record](standin.JournalSize),
		orders:       standin.NewJournal[wire.EngineOrderReceived](standin.JournalSize),
		orderAnswers: map[wire.OrderId]wire.EngineOrderAnswer{},
		ordersDone:   make(chan struct{}),
	}
	for _, opt := range opts {
		opt(e)
	}
	close(e.ordersDone)
	e.events = newEventLog(e.clock, millis(cfg.EventLagMillis), cfg.EventGapEvery)
	e.loads = newLoadHistory(e.clock, millis(cfg.LoadLagMillis), cfg.Pieces)
	e.cache = newCache(cfg.Pieces, e.cacheChanged)
	e.slots = newSlots(cfg.MaxRunning, cfg.MaxWaiting, e.loads.setRequests)
	e.state = wire.EngineState{
		ChecksFencing: cfg.ChecksFencing,
		Endpoint:      cfg.Endpoint,
		LastOrderDone: true,
		Model:         cfg.Model,
		ModelVersion:  cfg.ModelVersion,
		Role:          cfg.Role,
	}
	e.lifetime, e.close = context.WithCancel(context.Background())
	e.serving, e.stopServing = context.WithCancel(e.lifetime)
	return e
}

func (e *engine) cacheChanged(kind wire.CacheEventKind, blocks []string, used int) {
	e.events.add(kind, blocks)
	e.loads.setBlocks(used)
}

// admit accepts a request for a model. The context that it returns is cancelled with cause errAbortedByOrder when an order is
// accepted. The caller must call end when the request has ended.
func (e *engine) admit(ctx context.Context, model wire.ModelName) (inner context.Context, end func(), err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pendingOrders > 0 || e.stopped {
		return nil, nil, errUnavailable
	}
	if model == "" || model != e.state.Model {
		return nil, nil, &modelError{Model: model}
	}
	inner, cancel := context.WithCancelCause(ctx)
	stopAfterFunc := context.AfterFunc(e.serving, func() { cancel(errAbortedByOrder) })
	end = func() {
		stopAfterFunc()
		cancel(nil)
	}
	return inner, end, nil
}

func (e *engine) currentState() wire.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// swapLastRequest records the id of the newest request and returns that of the request before it.
func (e *engine) swapLastRequest(id wire.RequestId) wire.RequestId {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.lastRequest
	e.lastRequest = id
	return before
}
