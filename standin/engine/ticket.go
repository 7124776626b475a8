package main

// notWaiting is the index of a ticket that is not in the heap.
const notWaiting = -1

// ticket is a request's place in the queue; granted is closed when it gets a place in the batch.
type ticket struct {
	priority int
	arrival  int
	granted  chan struct{}
	index    int
}

// ticketHeap orders tickets by priority, lower first, then by arrival.
type ticketHeap []*ticket

// Len implements heap.Interface.
func (h ticketHeap) Len() int {
	return len(h)
}

// Less implements heap.Interface.
func (h ticketHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].arrival < h[j].arrival
}

// Swap implements heap.Interface.
func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	t := x.(*ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	end := len(*h) - 1
	t := (*h)[end]
	(*h)[end] = nil
	*h = (*h)[:end]
	t.index = notWaiting
	return t
}
