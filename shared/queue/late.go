package queue

import (
	"fmt"
	"time"
)

// LateError refuses a request that would wait too long. It has not run.
type LateError struct {
	// Wait is the expected wait, from the rate at which the workspace was served.
	Wait time.Duration
	// Within is what the request could wait.
	Within time.Duration
}

// Error names both times.
func (e *LateError) Error() string {
	return fmt.Sprintf("the wait would be %v, longer than %v", e.Wait.Round(time.Millisecond), e.Within)
}

// RetryAfter is when the queue will be short enough if nothing more comes.
func (e *LateError) RetryAfter() time.Duration {
	return e.Wait - e.Within
}
