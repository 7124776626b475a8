// Package booking makes sure that a request with an Idempotency-Key runs at most once: a claim in the platform's table
// is written before the request is sent, and holds its answer afterwards.
package booking

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"cowslipshunt.example/wire"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
)

// tableName is the table of claims.
const tableName = "claim"

// Times of the writes of one claim.
const (
	retryAtFirst = 20 * time.Millisecond
	retryAtMost  = 500 * time.Millisecond
)

// Table is what claims need of the platform's table service.
type Table interface {
	Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error)
}

// Key names a claim: a workspace and the digest of its Idempotency-Key.
type Key struct {
	Workspace wire.WorkspaceName
	Digest    wire.Digest
}

func (k Key) row() string {
	return string(k.Workspace) + "/" + string(k.Digest)
}

// Claim is the right to run a request once.
type Claim struct {
	key      Key
	row      wire.ClaimRow
	revision wire.Revision
}

// Answer is what a caller of a claimed request gets.
type Answer struct {
	Status int
	Header []wire.HeaderField
	Body   []byte
}

// OtherRequestError says that the key was used for another request.
type OtherRequestError struct{}

// Error says so.
func (OtherRequestError) Error() string {
	return "the Idempotency-Key was used for another request"
}

// DoneError carries the stored answer of a request that ran.
type DoneError struct {
	Answer Answer
}

// Error says that there is an answer.
func (*DoneError) Error() string {
	return "the request has run and has an answer"
}

// ClaimedError says that the request was claimed before and has no answer: it may be running or have run.
type ClaimedError struct {
	State wire.ClaimState
}

// Error names the claim's state.
func (e *ClaimedError) Error() string {
	return fmt.Sprintf("the request was claimed before; state %s", e.State)
}

// TableError says that the table could not be asked, so nobody knows whether the request ran before.
type TableError struct {
	Err error
}

// Error returns the table's error.
func (e *TableError) Error() string {
	return "claim: " + e.Err.Error()
}

// Unwrap returns the table's error.
func (e *TableError) Unwrap() error {
	return e.Err
}

// Claims writes one incarnation's claims.
type Claims struct {
	table       Table
	incarnation wire.IncarnationId
	clock       clockwork.Clock
}

// NewClaims returns claims of an incarnation.
func NewClaims(table Table, incarnation wire.IncarnationId, clock clockwork.Clock) *Claims {
	return &Claims{table: table, incarnation: incarnation, clock: clock}
}

// Begin claims a request. Until ctx ends it repeats a write whose answer was lost: a row with this attempt's own id
// settles that the write took effect. Errors are OtherRequestError, *DoneError, *ClaimedError and *TableError; after each
// of them the caller must not run the request.
func (c *Claims) Begin(ctx context.Context, key Key, request wire.Digest) (*Claim, error) {
	row := wire.ClaimRow{
		Workspace:     key.Workspace,
		RequestDigest: request,
		Attempt:       uuid.NewString(),
		Incarnation:   c.incarnation,
		State:         wire.ClaimStateRunning,
		Header:        []wire.HeaderField{},
		Body:          []byte{},
		At:            c.clock.Now(),
	}
	claim := &Claim{key: key, row: row}
	answer, err := c.write(ctx, claim, false)
	if err != nil {
		return claim, &TableError{Err: err}
	}
	if answer.Committed {
		claim.revision = answer.Revision
		return claim, nil
	}
	return c.judge(claim, answer, request)
}

// judge decides by the row that stood in the way.
func (c *Claims) judge(claim *Claim, answer wire.TransactAnswer, request wire.Digest) (*Claim, error) {
	there, revision, err := conflict(answer)
	switch {
	case err != nil:
		return nil, &TableError{Err: err}
	case there.Attempt == claim.row.Attempt:
		claim.revision = revision
		return claim, nil
	case there.RequestDigest != request:
		return nil, OtherRequestError{}
	case there.State == wire.ClaimStateDone:
		return nil, &DoneError{Answer: Answer{Status: there.Status, Header: there.Header, Body: there.Body}}
	}
	return nil, &ClaimedError{State: there.State}
}

// Finish stores the answer of a claimed request. It repeats until the table has it or ctx ends.
func (c *Claims) Finish(ctx context.Context, claim *Claim, a Answer) error {
	row := claim.row
	row.State = wire.ClaimStateDone
	row.Status = a.Status
	row.Header = a.Header
	row.Body = a.Body
	return c.settle(ctx, &Claim{key: claim.key, row: row, revision: claim.revision}, false)
}

// Doubt marks a claimed request as one whose outcome nobody knows.
func (c *Claims) Doubt(ctx context.Context, claim *Claim) error {
	row := claim.row
	row.State = wire.ClaimStateUnknown
	return c.settle(ctx, &Claim{key: claim.key, row: row, revision: claim.revision}, false)
}

// Release gives a claim back whose request certainly did not run.
func (c *Claims) Release(ctx context.Context, claim *Claim) error {
	return c.settle(ctx, claim, true)
}

// settle writes a claim's last state. A conflict shows an earlier write whose answer was lost: this one, or the one that
// began the claim.
func (c *Claims) settle(ctx context.Context, claim *Claim, remove bool) error {
	for {
		answer, err := c.write(ctx, claim, remove)
		if err != nil || answer.Committed {
			return err
		}
		there, revision, err := conflict(answer)
		switch {
		case errors.Is(err, errAbsent) && remove:
			return nil
		case err != nil:
			return err
		case there.Attempt != claim.row.Attempt:
			return &ClaimedError{State: there.State}
		case there.State != wire.ClaimStateRunning:
			return nil
		}
		claim.revision = revision
	}
}

// write repeats a conditional write until it is answered or ctx ends.
func (c *Claims) write(ctx context.Context, claim *Claim, remove bool) (wire.TransactAnswer, error) {
	value, err := json.Marshal(claim.row)
	if err != nil {
		return wire.TransactAnswer{}, err
	}
	key := claim.key.row()
	request := wire.TransactRequest{
		Checks: []wire.Check{{Table: tableName, Key: key, Revision: claim.revision}},
		Writes: []wire.Write{{Table: tableName, Key: key, Value: value, Delete: remove}},
	}
	wait := retryAtFirst
	for {
		answer, err := c.table.Transact(ctx, request)
		if err == nil {
			return answer, nil
		}
		select {
		case <-c.clock.After(wait):
			wait = min(2*wait, retryAtMost)
		case <-ctx.Done():
			return wire.TransactAnswer{}, err
		}
	}
}

var errAbsent = errors.New("the claim is gone")

func conflict(answer wire.TransactAnswer) (wire.ClaimRow, wire.Revision, error) {
	var row wire.ClaimRow
	if len(answer.Conflicts) == 0 || answer.Conflicts[0].Revision == 0 {
		return row, 0, errAbsent
	}
	err := json.Unmarshal(answer.Conflicts[0].Value, &row)
	return row, answer.Conflicts[0].Revision, err
}
