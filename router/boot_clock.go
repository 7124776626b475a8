package main

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock reads CLOCK_BOOTTIME, which advances while the machine is suspended and cannot be set.
type bootClock struct{}

// Monotonic returns the time since the machine booted. It panics if the clock cannot be read.
func (bootClock) Monotonic() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read the boot-time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Wall returns the boot time as a time since the Unix epoch, so that steps of the machine's wall clock do not affect a lease.
func (c bootClock) Wall() time.Time {
	return time.Unix(0, int64(c.Monotonic()))
}
