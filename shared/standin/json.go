package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// MaxBody is the maximum size of a request's body in bytes.
const MaxBody = 16 << 20

// Header and value that mark an answer to a request of which no part was executed.
const (
	OutcomeHeader = "Outcome"
	OutcomeNotRun = "NotRun"
)

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// ReadBody reads a request's whole body, up to MaxBody bytes.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return data, nil
}

// ReadJSON decodes a request's body. If it can't, it answers with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := ReadBody(w, r)
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// NotRun marks an answer to a request of which no part was executed.
func NotRun(h http.Header) {
	h.Set(OutcomeHeader, OutcomeNotRun)
}
