package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// maxBody is the size limit of a call's body, in bytes.
const maxBody = 64 << 20

// Done is the empty answer of a call that returns no data.
type Done struct{}

// handleCall returns a handler that decodes the JSON body, calls do and writes its answer as JSON.
func handleCall[In, Out any](do func(In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := decodeBody(w, r, &in); err != nil {
			writeError(w, err)
			return
		}
		out, err := do(in)
		if err != nil {
			writeError(w, err)
			return
		}
		writeAnswer(w, out)
	}
}

// handleAction is handleCall for a call that returns no data.
func handleAction[In any](do func(In) error) http.HandlerFunc {
	return handleCall(func(in In) (Done, error) {
		return Done{}, do(in)
	})
}

// handleQuery returns a handler for a call without a body.
func handleQuery[Out any](do func() Out) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		writeAnswer(w, do())
	}
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &Refusal{Status: http.StatusRequestEntityTooLarge, Text: err.Error()}
	}
	if err != nil {
		return nil, invalid("read body: %v", err)
	}
	return data, nil
}

// decodeBody rejects unknown fields and trailing data, so that callers whose types differ from the wire types fail.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) error {
	data, err := readBody(w, r)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return invalid("decode body: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return invalid("decode body: more than one value")
	}
	return nil
}

func writeAnswer(w http.ResponseWriter, out any) {
	data, err := json.Marshal(out)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

func writeError(w http.ResponseWriter, err error) {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		http.Error(w, refusal.Text, refusal.Status)
		return
	}
	http.Error(w, err.Error(), http.StatusInternalServerError)
}
