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

// Reasons why an engine runs no request, or ends one.
var (
	errAway = errors.New("engine is away for an order")
	errCut  = errors.New("an order cut the request")
)

// modelError says that a model is not loaded.
type modelError struct {
	Model wire.ModelName
}

// Error names the model.
func (e *modelError) Error() string {
	return fmt.Sprintf("model %q is not loaded", e.Model)
}

// engine runs completions and orders. Its state is guarded by mu.
type engine struct {
	cfg      settings
	clock    clockwork.Clock
	logger   *log.Logger
	meters   *meters
	slots    *slots
	cache    *cache
	events   *eventLog
	loads    *loadHistory
	requests *standin.Journal[*record]
	ordered  *standin.Journal[wire.EngineOrderReceived]
	fault    standin.Fault[wire.EngineFault]
	life     context.Context
	close    context.CancelFunc

	mu      sync.Mutex
	state   wire.EngineState
	stopped bool
	// pending counts accepted orders that are not done; the engine is away while there are any.
	pending int
	// turn is closed when all orders accepted so far are done.
	turn    chan struct{}
	answers map[wire.OrderId]wire.EngineOrderAnswer
	// service ends when an order takes the engine away.
	service context.Context
	cut     context.CancelFunc
	last    wire.RequestId
}

// option changes an engine.
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
		cfg:      cfg,
		clock:    clockwork.NewRealClock(),
		logger:   &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
		meters:   newMeters(),
		requests: standin.NewJournal[*record](standin.JournalSize),
		ordered:  standin.NewJournal[wire.EngineOrderReceived](standin.JournalSize),
		answers:  map[wire.OrderId]wire.EngineOrderAnswer{},
		turn:     make(chan struct{}),
	}
	for _, opt := range opts {
		opt(e)
	}
	close(e.turn)
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
	e.life, e.close = context.WithCancel(context.Background())
	e.service, e.cut = context.WithCancel(e.life)
	return e
}

func (e *engine) cacheChanged(kind wire.CacheEventKind, pieces []string, used int) {
	e.events.add(kind, pieces)
	e.loads.setPieces(used)
}

// enter admits a request for a model. The context that it returns ends with cause errCut when an order takes the engine
// away; leave has to be called.
func (e *engine) enter(ctx context.Context, model wire.ModelName) (inner context.Context, leave func(), err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pending > 0 || e.stopped {
		return nil, nil, errAway
	}
	if model == "" || model != e.state.Model {
		return nil, nil, &modelError{Model: model}
	}
	inner, cancel := context.WithCancelCause(ctx)
	unhook := context.AfterFunc(e.service, func() { cancel(errCut) })
	leave = func() {
		unhook()
		cancel(nil)
	}
	return inner, leave, nil
}

func (e *engine) currentState() wire.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// swapLast notes the newest request and returns the one before.
func (e *engine) swapLast(id wire.RequestId) wire.RequestId {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.last
	e.last = id
	return before
}
