package main

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"cowslipshunt.example/serving/intake"
)

// Bounds of the time in which a caller sends the body of its request.
const (
	// bodyPause is the longest time without a byte.
	bodyPause = 5 * time.Second
	// bodyTime bounds the whole body, unless the caller waits for a shorter time.
	bodyTime = 30 * time.Second
	// discardTime and discardBytes bound the rest of a refused body, which is read so that a caller that is still writing gets the refusal.
	// Bodies that the configuration allows may be longer.
	discardTime  = 10 * time.Second
	discardBytes = 16 << 20
)

// Memory of a body whose length is not known: what it begins with, and the factor by which it grows.
const (
	chunkedBytes  = 4 << 10
	chunkedGrowth = 4
)

// requestBody is the body of a caller's request.
type requestBody struct {
	r *http.Request
	// control sets the deadlines of the caller's connection.
	control *http.ResponseController
	hold    *intake.Hold
	// limit is the longest body in bytes.
	limit int64
	// until is when the body has to be read.
	until time.Time
	// begun is set once the body was read from, which asks a caller that awaits it for the body.
	begun bool
}

// readWhole reads the body into memory that is reserved before. The error is a *intake.FullError if there is none, and a *http.MaxBytesError
// if the body is too long.
func (b *requestBody) readWhole(ctx context.Context) ([]byte, error) {
	n := b.r.ContentLength
	if n == 0 {
		return nil, nil
	}
	if n > b.limit {
		return nil, &http.MaxBytesError{Limit: b.limit}
	}
	defer b.setDeadline(time.Time{})
	if n < 0 {
		return b.readChunks(ctx)
	}
	if err := b.hold.Grow(ctx, n); err != nil {
		return nil, err
	}
	data := make([]byte, n)
	_, err := io.ReadFull(b, data)
	return data, err
}

// readChunks reads a body whose length is not known. It holds the memory that its buffer has, and at the end that of the body.
func (b *requestBody) readChunks(ctx context.Context) ([]byte, error) {
	var data []byte
	for {
		size := min(max(chunkedGrowth*int64(len(data)), chunkedBytes), b.limit+1)
		if err := b.hold.Grow(ctx, size); err != nil {
			return nil, err
		}
		data = append(make([]byte, 0, size), data...)
		var err error
		data, err = b.fill(data)
		switch {
		case int64(len(data)) > b.limit:
			return nil, &http.MaxBytesError{Limit: b.limit}
		case errors.Is(err, io.EOF):
			data = slices.Clone(data)
			b.hold.Shrink(int64(len(data)))
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// fill reads until data has no more room, or to the end of the body, which is reported as io.EOF.
func (b *requestBody) fill(data []byte) ([]byte, error) {
	for len(data) < cap(data) {
		n, err := b.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil {
			return data, err
		}
	}
	return data, nil
}

// Read reads from the caller, which must not pause for longer than bodyPause.
func (b *requestBody) Read(p []byte) (int, error) {
	deadline := time.Now().Add(bodyPause)
	if b.until.Before(deadline) {
		deadline = b.until
	}
	b.begun = true
	b.setDeadline(deadline)
	return b.r.Body.Read(p)
}

// setDeadline sets when reads from the caller's connection fail. If the connection has been closed, the next read says so.
func (b *requestBody) setDeadline(t time.Time) {
	_ = b.control.SetReadDeadline(t)
}

// discard reads the rest of the body and reports whether it was read to its end.
func (b *requestBody) discard() bool {
	defer b.setDeadline(time.Time{})
	b.until = time.Now().Add(discardTime)
	_, err := io.CopyN(io.Discard, b, max(b.limit, discardBytes)+1)
	return errors.Is(err, io.EOF)
}

// awaitsContinue reports whether the caller sends the body only once it is asked to.
func (b *requestBody) awaitsContinue() bool {
	return strings.EqualFold(b.r.Header.Get("Expect"), "100-continue")
}
