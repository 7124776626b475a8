package channel_test

import (
	"syscall"
	"testing"
)

// benchCPUNanos returns the user and system processor time that this process has used, in nanoseconds.
func benchCPUNanos(b *testing.B) float64 {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return float64(usage.Utime.Nano() + usage.Stime.Nano())
}
