package proof

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
)

// get reads JSON from an address. It returns the zero value on failure, so that callers can poll.
func get[T any](address, path string) T {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		panic(err)
	}
	return getJSON[T](r)
}

func getJSON[T any](r *http.Request) T {
	var v T
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return v
	}
	defer answer.Body.Close()
	data, _ := io.ReadAll(answer.Body)
	_ = json.Unmarshal(data, &v)
	return v
}

// post sends JSON to a control route of a stand-in program and fails the test on an error status.
func (s *system) post(address, path string, v any) {
	s.t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		s.t.Fatal(err)
	}
	answer, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	if err != nil {
		s.t.Fatal(err)
	}
	answer.Body.Close()
	if answer.StatusCode >= http.StatusBadRequest {
		s.t.Fatalf("POST %s%s: status %d", address, path, answer.StatusCode)
	}
}

func decodeJSON(text string, into any) {
	_ = json.Unmarshal([]byte(text), into)
}
