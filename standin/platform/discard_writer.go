package main

import "net/http"

// discardWriter is a ResponseWriter that discards the answer.
type discardWriter struct {
	header http.Header
}

// Header returns a header that is never sent.
func (w *discardWriter) Header() http.Header {
	return w.header
}

// Write discards the data.
func (w *discardWriter) Write(data []byte) (int, error) {
	return len(data), nil
}

// WriteHeader discards the status.
func (w *discardWriter) WriteHeader(int) {}
