package link

import (
	"fmt"
	"io"
)

// HeadTooLongError reports that an endpoint sent more than the head of a response may have.
type HeadTooLongError struct{}

// Error states the bounds.
func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("the head of the response is longer than %d bytes or follows more than %d interim responses", maxHeadBytes, maxInterimResponses)
}

// UnexpectedStatusError reports a status code that no response to a request can have.
type UnexpectedStatusError struct {
	Status int
}

// Error states the status.
func (e *UnexpectedStatusError) Error() string {
	return fmt.Sprintf("the response has the unexpected status %03d", e.Status)
}

// CheckStatus returns an *UnexpectedStatusError for a status that no final response can have.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return &UnexpectedStatusError{Status: status}
	}
	return nil
}

// limitedReader reads from r, at most a number of bytes while a limit is set.
type limitedReader struct {
	r       io.Reader
	limited bool
	left    int
}

// set starts a limit of n bytes.
func (l *limitedReader) set(n int) {
	l.limited, l.left = true, n
}

// clear ends the limit.
func (l *limitedReader) clear() {
	l.limited = false
}

// Read reads from the underlying reader. Once the limit is reached, it returns a *HeadTooLongError.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.left == 0 {
		return 0, &HeadTooLongError{}
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
