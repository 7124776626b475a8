package caller

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"cowslipshunt.example/shared/problem"
)

// ReadBody reads a request's whole body, up to limit bytes and within the timeout. If the body was not read completely, the
// connection keeps its read deadline; otherwise the server would wait for the rest of the body before it sends the answer.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, *problem.Problem) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, problem.New(http.StatusRequestTimeout, problem.NotRun, "the body did not come within %v", timeout)
	case errors.As(err, &tooLarge):
		return nil, problem.New(http.StatusRequestEntityTooLarge, problem.NotRun, "the body is larger than %d bytes", limit)
	}
	return nil, problem.New(http.StatusBadRequest, problem.NotRun, "the body cannot be read: %v", err)
}
