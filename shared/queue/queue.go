package queue

import (
	"container/list"
	"context"
	"errors"
	"sync"

	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/wire"
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
type Choose func() *endpoint.Endpoint

type request struct {
	workspace wire.WorkspaceName
	weight    int
	estimate  Service
	number    uint64
	choose    Choose
	slot      chan *endpoint.Endpoint
	place     *list.Element
}

// Queue hands out the slots of the endpoints that serve one model or service.
type Queue struct {
	mu     sync.Mutex
	fair   *fair
	number uint64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{fair: newFair()}
}

// Acquire waits until the request's turn comes and choose finds a slot. It charges the estimated service at once; Charge
// corrects it later. It returns ErrFull at the queue's bounds and ctx's error when ctx ends first.
func (q *Queue) Acquire(ctx context.Context, workspace wire.WorkspaceName, weight int, estimate Service, choose Choose) (*endpoint.Endpoint, error) {
	q.mu.Lock()
	if q.fair.total >= maxWaiting || q.fair.waiting(workspace) >= maxWaitingPerWorkspace {
		q.mu.Unlock()
		return nil, ErrFull
	}
	r := &request{
		workspace: workspace,
		weight:    weight,
		estimate:  estimate,
		number:    q.number,
		choose:    choose,
		slot:      make(chan *endpoint.Endpoint, 1),
	}
	q.number++
	q.fair.push(r)
	q.serve()
	q.mu.Unlock()
	select {
	case e := <-r.slot:
		return e, nil
	case <-ctx.Done():
		return q.abandon(ctx, r)
	}
}

// abandon takes a request out, unless it got a slot at the same moment.
func (q *Queue) abandon(ctx context.Context, r *request) (*endpoint.Endpoint, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case e := <-r.slot:
		e.Release()
		q.fair.charge(r.workspace, -r.estimate)
		q.serve()
	default:
		q.fair.remove(r)
	}
	return nil, context.Cause(ctx)
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
		r := q.fair.head()
		if r == nil {
			return
		}
		e := r.choose()
		if e == nil {
			return
		}
		q.fair.remove(r)
		q.fair.charge(r.workspace, r.estimate)
		r.slot <- e
	}
}
