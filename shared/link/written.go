package link

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// writeEndTimeout bounds the wait for the end of a request's write once the endpoint has ended its response, and its side of the connection.
// An endpoint that still reads the request needs no more than some round trips for each part of it; a reset ends the write at once.
const writeEndTimeout = time.Second

// errStillWriting is the cause if the endpoint has not read the whole request when writeEndTimeout has passed.
var errStillWriting = errors.New("the endpoint does not read the rest of it")

// RequestNotWrittenError reports that a response ended with its connection, before the whole request was written. The end may be that of a
// reset, of which the kernel tells only the first call on the socket, so the response cannot be told from a partial one.
type RequestNotWrittenError struct {
	// Err is why the request was not written.
	Err error
}

// Error returns the message with that of the cause.
func (e *RequestNotWrittenError) Error() string {
	return fmt.Sprintf("the response ended before the request was written: %v", e.Err)
}

// Unwrap returns the cause.
func (e *RequestNotWrittenError) Unwrap() error {
	return e.Err
}

// write is the write of one request. A connection whose write has not succeeded carries no other request.
type write struct {
	// sent is set once the write has begun.
	sent bool
	// done is closed at its end; nil if it ended before Send returned.
	done chan struct{}
	// err is valid once done is closed.
	err error
}

// wait returns the error of the write once it has ended.
func (w *write) wait() error {
	if w.done == nil {
		return w.err
	}
	select {
	case <-w.done:
		return w.err
	default:
	}
	timer := time.NewTimer(writeEndTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
		return w.err
	case <-timer.C:
		return errStillWriting
	}
}

// succeeded reports whether the whole request has been written.
func (w *write) succeeded() bool {
	if w.done != nil {
		select {
		case <-w.done:
		default:
			return false
		}
	}
	return w.sent && w.err == nil
}

// delimitsItself reports whether a response states where its body ends, or has none.
func delimitsItself(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// closeDelimitedBody is a body that ends with its connection. Its end is one only if the request was written.
type closeDelimitedBody struct {
	io.ReadCloser
	write *write
}

// Read reads from the body. At its end it waits for the end of the write, whose error it returns in a *RequestNotWrittenError.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if writeErr := b.write.wait(); writeErr != nil {
		err = &RequestNotWrittenError{Err: writeErr}
	}
	return n, err
}
