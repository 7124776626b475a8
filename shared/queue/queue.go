package queue

import (
	"context"
	"errors"
	"sync"

	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// Bounds of one queue. A request beyond them is refused at once.
const (
	maxWaiting             = 4096
	maxWaitingPerWorkspace = 512
)

// Refusals of a queue. Neither request has run.
var (
	ErrFull   = errors.New("the queue is full")
	ErrNobody = errors.New("no endpoint serves this")
)

// Choose takes a slot for a request, or returns nil if there is none now.
type Choose func() *endpoint.Slot

// Queue hands out the slots of the endpoints that serve one model or service.
type Queue struct {
	mu     sync.Mutex
	fair   *fair
	bounds Bounds
	clock  clockwork.Clock
	number uint64
}

// Bounds is how many requests may wait.
type Bounds struct {
	Total        int
	PerWorkspace int
}

// Option changes a queue.
type Option func(*Queue)

// WithBounds replaces the bounds of waiting requests.
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

// Acquire waits until the request's turn comes and its Choose finds a slot. It charges the estimated service at once;
// Charge corrects it later. It returns ErrFull at the queue's bounds, a LateError if the
// request would wait too long, and ctx's error when ctx ends first.
func (q *Queue) Acquire(ctx context.Context, r Request) (*endpoint.Slot, error) {
	t, err := q.Join(r)
	if err != nil {
		return nil, err
	}
	select {
	case e := <-t.slot:
		return e, nil
	case <-ctx.Done():
	}
	if e := q.Leave(t); e != nil {
		e.Release()
		q.Charge(r.Workspace, -r.Estimate)
		q.Wake()
	}
	return nil, context.Cause(ctx)
}

// Join lets a request wait without blocking the caller, and serves the queue. Its Choose is called when its turn comes.
func (q *Queue) Join(r Request) (*Ticket, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.fair.total >= q.bounds.Total || q.fair.waiting(r.Workspace) >= q.bounds.PerWorkspace {
		return nil, ErrFull
	}
	if err := q.late(r); err != nil {
		return nil, err
	}
	t := &Ticket{request: r, number: q.number, joined: q.clock.Now(), slot: make(chan *endpoint.Slot, 1)}
	q.number++
	q.fair.push(t)
	q.serve()
	return t, nil
}

// late refuses a request whose turn is expected behind the time that it can wait.
func (q *Queue) late(r Request) error {
	if r.Within <= 0 {
		return nil
	}
	wait, known := q.fair.wait(r.Workspace, q.clock.Now())
	if !known || wait <= r.Within {
		return nil
	}
	return &LateError{Wait: wait, Within: r.Within}
}

// Leave takes a ticket out. If it got a slot before, that is returned and is the caller's to give back.
func (q *Queue) Leave(t *Ticket) *endpoint.Slot {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case e := <-t.slot:
		return e
	default:
		q.fair.remove(t, q.clock.Now())
		return nil
	}
}

// Charge adds service that a workspace received; a negative amount gives back.
func (q *Queue) Charge(workspace wire.WorkspaceName, amount Service) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fair.charge(workspace, amount)
}

// Wake serves the queue again after a slot was given back or the endpoints changed.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.serve()
}

// Waiting counts the requests that wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.fair.total
}

// serve hands out slots in fair order until one request finds none.
func (q *Queue) serve() {
	for {
		t := q.fair.head()
		if t == nil {
			return
		}
		e := t.request.Choose()
		if e == nil {
			return
		}
		q.fair.grant(t, q.clock.Now())
		t.slot <- e
	}
}
