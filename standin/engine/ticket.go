package main

// notWaiting is the index of a ticket outside the heap.
const notWaiting = -1

// ticket is one request's place in the queue.
type ticket struct {
	priority int
	arrival  int
	granted  chan struct{}
	index    int
}

// ticketHeap orders tickets by priority, lower first, then by arrival.
type ticketHeap []*ticket

// Len is for container/heap.
func (h ticketHeap) Len() int {
	return len(h)
}

// Less is for container/heap.
func (h ticketHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].arrival < h[j].arrival
}

// Swap is for container/heap.
func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is for container/heap.
func (h *ticketHeap) Push(x any) {
	t := x.(*ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop is for container/heap.
func (h *ticketHeap) Pop() any {
	end := len(*h) - 1
	t := (*h)[end]
	(*h)[end] = nil
	*h = (*h)[:end]
	t.index = notWaiting
	return t
}
