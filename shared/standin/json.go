package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// MaxBody bounds a request's body, in bytes.
const MaxBody = 16 << 20

// Header names of a refusal that happened before anything ran.
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

// ReadBody reads a whole body of at most MaxBody bytes.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return data, nil
}

// ReadJSON decodes a body; it answers 400 itself and returns false if the body is bad.
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

// NotRun marks an answer as a refusal before anything ran.
func NotRun(h http.Header) {
	h.Set(OutcomeHeader, OutcomeNotRun)
}
