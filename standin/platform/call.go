package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// maxBody bounds a call's body, in bytes.
const maxBody = 64 << 20

// Done is the answer to a call that has nothing to tell.
type Done struct{}

// call serves a JSON call that has an answer.
func call[In, Out any](do func(In) (Out, error)) http.HandlerFunc {
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

// act serves a JSON call that only succeeds or fails.
func act[In any](do func(In) error) http.HandlerFunc {
	return call(func(in In) (Done, error) {
		return Done{}, do(in)
	})
}

// query serves a call without a body.
func query[Out any](do func() Out) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		writeAnswer(w, do())
	}
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, &Refusal{Status: http.StatusRequestEntityTooLarge, Text: err.Error()}
	}
	if err != nil {
		return nil, invalid("read body: %v", err)
	}
	return data, nil
}

// decodeBody is strict, so that a caller's drift from the wire types shows.
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
