package queue

import (
	"container/list"
	"time"

	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/wire"
)

// Request describes a request to a queue.
type Request struct {
	Workspace wire.WorkspaceName
	// Weight is the workspace's share of the service relative to other workspaces; values below one count as one.
	Weight int
	// Estimate is the service that the request is expected to receive.
	Estimate Service
	// MaxWait is how long the request can wait; zero means without limit.
	MaxWait time.Duration
	// Choose is called with the queue's lock held, so it must not call the queue.
	Choose Choose
}

// Ticket is one request's position in the queue.
type Ticket struct {
	request Request
	// sequence is the order of arrival.
	sequence uint64
	joined   time.Time
	// slot receives the slot once the request is granted one. It is buffered, so that the queue never blocks on it.
	slot    chan *endpoint.Slot
	element *list.Element
}
