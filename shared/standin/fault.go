package standin

import "sync"

// Fault holds the fault that a test has set; the zero fault is none.
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

// Take returns the fault, and ends it if spent says that one request uses it up.
func (f *Fault[T]) Take(spent func(T) bool) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.fault
	if spent(fault) {
		var none T
		f.fault = none
	}
	return fault
}
