package main

import "net/http"

// lostAnswer takes an answer that never reaches its caller.
type lostAnswer struct {
	header http.Header
}

// Header returns a header that nobody reads.
func (l *lostAnswer) Header() http.Header {
	return l.header
}

// Write drops the data.
func (l *lostAnswer) Write(data []byte) (int, error) {
	return len(data), nil
}

// WriteHeader drops the status.
func (l *lostAnswer) WriteHeader(int) {}
