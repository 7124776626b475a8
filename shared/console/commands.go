package console

import (
	"context"
	"errors"
	"net"
	"net/http"

	"cowslipshunt.example/wire"
)

// Submit submits a document that the operator derived from a base version. Its error is a ConflictError if a version other than the
// base version is in force, a FindingsError if the document is invalid, and an OutcomeUnknownError if the submission may have taken
// effect: its answer was lost or unreadable, or the entry answered with a server error.
func (c *Client) Submit(ctx context.Context, r wire.SubmitRequest) (wire.SubmitAnswer, error) {
	var answer wire.SubmitAnswer
	err := c.call(ctx, http.MethodPost, "/v1/document", r, &answer)
	if err != nil && !isRejection(err) && !neverSent(err) {
		err = &OutcomeUnknownError{Err: err}
	}
	return answer, err
}

// isRejection reports whether an error is an answer of the entry which means that nothing was changed.
func isRejection(err error) bool {
	var conflict *ConflictError
	var findings *FindingsError
	var problem *ProblemError
	if errors.As(err, &problem) {
		return problem.Status < http.StatusInternalServerError
	}
	return errors.As(err, &conflict) || errors.As(err, &findings)
}

// neverSent reports whether a call failed before there was a connection to send it on.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
