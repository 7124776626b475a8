package caller

import (
	"errors"
	"io"
	"net/http"

	"cowslipshunt.example/shared/problem"
)

// ReadBody reads a request's body whole, at most limit bytes.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *problem.Problem) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, problem.New(http.StatusRequestEntityTooLarge, problem.NotRun, "the body is larger than %d bytes", limit)
	}
	return nil, problem.New(http.StatusBadRequest, problem.NotRun, "the body cannot be read: %v", err)
}
