package queue

import (
	"fmt"
	"time"
)

// LateError rejects a request whose expected wait is longer than the request can wait. The request was not executed.
type LateError struct {
	// Wait is the expected wait, computed from the rate at which the workspace was served.
	Wait time.Duration
	// MaxWait is how long the request can wait.
	MaxWait time.Duration
}

// Error names the expected wait and the time that the request can wait.
func (e *LateError) Error() string {
	return fmt.Sprintf("the wait would be %v, longer than %v", e.Wait.Round(time.Millisecond), e.MaxWait)
}

// RetryAfter returns the time after which the queue is expected to be short enough if no other requests arrive.
func (e *LateError) RetryAfter() time.Duration {
	return e.Wait - e.MaxWait
}
