package console

import (
	"context"
	"errors"
	"net"
	"net/http"

	"cowslipshunt.example/wire"
)

// Submit submits a document on the version that the operator started from. Its error is a ConflictError if another
// version is in force, a FindingsError if the document is wrong, and an UnsureError if it may have taken effect.
func (c *Client) Submit(ctx context.Context, r wire.SubmitRequest) (wire.SubmitAnswer, error) {
	var answer wire.SubmitAnswer
	err := c.call(ctx, http.MethodPost, "/v1/document", r, &answer)
	if err != nil && !refused(err) && !unsent(err) {
		err = &UnsureError{Err: err}
	}
	return answer, err
}

// refused tells whether an error is the entry's word that nothing was changed.
func refused(err error) bool {
	var conflict *ConflictError
	var findings *FindingsError
	var problem *ProblemError
	if errors.As(err, &problem) {
		return problem.Status < http.StatusInternalServerError
	}
	return errors.As(err, &conflict) || errors.As(err, &findings)
}

// unsent tells whether a call ended before there was a connection to send it on.
func unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
