package main

import (
	"cmp"
	"runtime/debug"
)

const (
	// memoryShare is the fraction of the instance's memory, as a divisor, that the bodies of requests may take, and that the bodies of responses
	// may take.
	memoryShare = 4
	// defaultMemoryBytes applies if the settings do not state the memory.
	defaultMemoryBytes = 184 << 20
	// heapPercent is the part of the memory at which the runtime collects garbage rather than take more. The rest is for the program itself
	// and what the kernel holds for its connections.
	heapPercent = 75
)

// shareOf returns the bytes that requests, or responses, may take of an instance's memory; memory 0 means that it is not known.
func shareOf(memory int64) int64 {
	return cmp.Or(memory, defaultMemoryBytes) / memoryShare
}

// limitHeap keeps garbage from filling the memory of the process: without a limit, the heap grows to twice what is in use.
func limitHeap(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(memory / 100 * heapPercent)
	}
}
