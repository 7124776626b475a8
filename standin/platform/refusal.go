package main

import (
	"fmt"
	"net/http"
)

// Refusal is a call that took no effect, with the status that tells why.
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

func absent(format string, args ...any) error {
	return &Refusal{Status: http.StatusNotFound, Text: fmt.Sprintf(format, args...)}
}

func conflicting(format string, args ...any) error {
	return &Refusal{Status: http.StatusConflict, Text: fmt.Sprintf(format, args...)}
}
