package channel_test

import (
	"syscall"
	"testing"
)

// benchProcessor returns the processor time that this process has used, in nanoseconds.
func benchProcessor(b *testing.B) float64 {
	b.Helper()
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		b.Fatal(err)
	}
	return float64(used.Utime.Nano() + used.Stime.Nano())
}
