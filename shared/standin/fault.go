package standin

import "sync"

// Fault holds the fault that a test has set. The zero value of T means no fault.
type Fault[T any] struct {
	mu    sync.Mutex
	fault T
}

// Set replaces the fault.
func (f *Fault[T]) Set(fault T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// Take returns the fault for a request. If once reports that the fault is for a single request, Take clears it.
func (f *Fault[T]) Take(once func(T) bool) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.fault
	if once(fault) {
		var none T
		f.fault = none
	}
	return fault
}
