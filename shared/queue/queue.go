package queue

import (
	"context"
	"errors"
	"sync"

	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// Default bounds of one queue. A request beyond them is rejected at once.
const (
	maxWaiting             = 4096
	maxWaitingPerWorkspace = 512
)

// Errors for rejected requests. A request rejected with one of them was not executed.
var (
	ErrFull       = errors.New("the queue is full")
	ErrNoEndpoint = errors.New("no endpoint serves this")
)

// Choose takes a slot for a request, or returns nil if none is free now.
type Choose func() *endpoint.Slot

// Queue grants the slots of the endpoints that serve one model or service to the waiting requests, fairly between workspaces.
type Queue struct {
	mu           sync.Mutex
	fair         *fair
	bounds       Bounds
	clock        clockwork.Clock
	nextSequence uint64
}

// Bounds limits how many requests may wait, in total and per workspace.
type Bounds struct {
	Total        int
	PerWorkspace int
}

// Option configures a queue.
type Option func(*Queue)

// WithBounds replaces the default bounds.
func WithBounds(b Bounds) Option {
	return func(q *Queue) {
		q.bounds = b
	}
}

// New returns an empty queue.
func New(clock clockwork.Clock, opts ...Option) *Queue {
	q := &Queue{fair: newFair(), clock: clock, bounds: Bounds{Total: maxWaiting, PerWorkspace: maxWaitingPerWorkspace}}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Acquire waits until it is the request's turn and its Choose returns a slot. It charges the workspace the estimated service with
// the grant; the caller corrects it with Charge once the actual service is known. It returns ErrFull if the queue is at its
// bounds, a *LateError if the request would wait too long, and ctx's cause if ctx ends first.
func (q *Queue) Acquire(ctx context.Context, r Request) (*endpoint.Slot, error) {
	t, err := q.Join(r)
	if err != nil {
		return nil, err
	}
	select {
	case slot := <-t.slot:
		return slot, nil
	case <-ctx.Done():
	}
	if slot := q.Leave(t); slot != nil {
		slot.Release()
		q.Charge(r.Workspace, -r.Estimate)
		q.Wake()
	}
	return nil, context.Cause(ctx)
}

// Join adds a request to the queue without blocking the caller and dispatches the queue. The request's Choose is called when it
// is the request's turn. It returns ErrFull or a *LateError like Acquire.
func (q *Queue) Join(r Request) (*Ticket, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.fair.total >= q.bounds.Total || q.fair.waitingCount(r.Workspace) >= q.bounds.PerWorkspace {
		return nil, ErrFull
	}
	if err := q.checkExpectedWait(r); err != nil {
		return nil, err
	}
	t := &Ticket{request: r, sequence: q.nextSequence, joined: q.clock.Now(), slot: make(chan *endpoint.Slot, 1)}
	q.nextSequence++
	q.fair.push(t)
	q.dispatch()
	return t, nil
}

// checkExpectedWait rejects a request whose expected wait is longer than it can wait.
func (q *Queue) checkExpectedWait(r Request) error {
	if r.MaxWait <= 0 {
		return nil
	}
	wait, known := q.fair.expectedWait(r.Workspace, q.clock.Now())
	if !known || wait <= r.MaxWait {
		return nil
	}
	return &LateError{Wait: wait, MaxWait: r.MaxWait}
}

// Leave removes a ticket from the queue. If the ticket was already granted a slot, Leave returns the slot, and the caller has to
// release it.
func (q *Queue) Leave(t *Ticket) *endpoint.Slot {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case slot := <-t.slot:
		return slot
	default:
		q.fair.remove(t, q.clock.Now())
		return nil
	}
}

// Charge adds to the service that a workspace received; a negative amount refunds service.
func (q *Queue) Charge(workspace wire.WorkspaceName, amount Service) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fair.charge(workspace, amount)
}

// Wake dispatches the queue again after a slot was released or the endpoints changed.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch()
}

// Waiting counts the waiting requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.fair.total
}

// dispatch grants slots in fair order until the next request finds none.
func (q *Queue) dispatch() {
	for {
		t := q.fair.head()
		if t == nil {
			return
		}
		slot := t.request.Choose()
		if slot == nil {
			return
		}
		q.fair.grant(t, q.clock.Now())
		t.slot <- slot
	}
}
