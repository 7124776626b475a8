package queue

import (
	"container/list"
	"time"

	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/wire"
)

// Request is what a queue has to know of a request.
type Request struct {
	Workspace wire.WorkspaceName
	// Weight is the workspace's share; less than one is one.
	Weight int
	// Estimate is the service that the request is expected to receive.
	Estimate Service
	// Within is how long the request can wait; zero is for ever.
	Within time.Duration
	// Choose is called under the queue's lock.
	Choose Choose
}

// Ticket is one request's place in the queue.
type Ticket struct {
	request Request
	number  uint64
	joined  time.Time
	slot    chan *endpoint.Slot
	place   *list.Element
}
