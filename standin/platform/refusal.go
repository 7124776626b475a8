package main

import (
	"fmt"
	"net/http"
)

// Refusal is the error of a rejected call, which had no effect, with the HTTP status to answer.
type Refusal struct {
	Status int
	Text   string
}

// Error returns the text.
func (e *Refusal) Error() string {
	return e.Text
}

func invalid(format string, args ...any) error {
	return &Refusal{Status: http.StatusBadRequest, Text: fmt.Sprintf(format, args...)}
}

func notFound(format string, args ...any) error {
	return &Refusal{Status: http.StatusNotFound, Text: fmt.Sprintf(format, args...)}
}

func conflict(format string, args ...any) error {
	return &Refusal{Status: http.StatusConflict, Text: fmt.Sprintf(format, args...)}
}
