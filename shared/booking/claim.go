// Package booking makes sure that a request with an Idempotency-Key is executed at most once. It writes a claim to the platform's
// table before the request is sent, and stores the answer in the claim afterwards.
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

// claimTable is the name of the table that holds the claims.
const claimTable = "claim"

// Bounds of the back-off between attempts to write a claim.
const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// Table is the part of the platform's table service that Claims uses.
type Table interface {
	Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error)
}

// Key identifies a claim by its workspace and the digest of the caller's Idempotency-Key.
type Key struct {
	Workspace wire.WorkspaceName
	Digest    wire.Digest
}

func (k Key) rowKey() string {
	return string(k.Workspace) + "/" + string(k.Digest)
}

// Claim is the right to execute a request once.
type Claim struct {
	key      Key
	row      wire.ClaimRow
	revision wire.Revision
}

// Answer is the response to a claimed request.
type Answer struct {
	Status int
	Header []wire.HeaderField
	Body   []byte
}

// KeyReusedError reports that the key was used before for a different request.
type KeyReusedError struct{}

// Error returns the message that callers get.
func (KeyReusedError) Error() string {
	return "the Idempotency-Key was used for another request"
}

// DoneError reports that the request was executed before, and carries the stored answer.
type DoneError struct {
	Answer Answer
}

// Error states that an answer is stored.
func (*DoneError) Error() string {
	return "the request was executed before; its answer is stored"
}

// ClaimedError reports that the request was claimed before and has no stored answer: it may be running, or it may have been
// executed.
type ClaimedError struct {
	State wire.ClaimState
}

// Error returns the message that callers get, with the claim's state.
func (e *ClaimedError) Error() string {
	return fmt.Sprintf("the request was claimed before; state %s", e.State)
}

// TableError reports that the table did not answer or returned an unusable row, so that it is unknown whether the request was
// executed before.
type TableError struct {
	Err error
}

// Error returns the table's error, marked as one of the claim table.
func (e *TableError) Error() string {
	return "claim table: " + e.Err.Error()
}

// Unwrap returns the table's error.
func (e *TableError) Unwrap() error {
	return e.Err
}

// Claims begins and settles the claims of one incarnation of a process.
type Claims struct {
	table       Table
	incarnation wire.IncarnationId
	clock       clockwork.Clock
}

// NewClaims returns the Claims of an incarnation.
func NewClaims(table Table, incarnation wire.IncarnationId, clock clockwork.Clock) *Claims {
	return &Claims{table: table, incarnation: incarnation, clock: clock}
}

// Begin claims a request. It repeats a write that fails until ctx ends. If an earlier write took effect but its answer was lost,
// the row in the table carries this attempt's id, and the claim succeeds. Errors are KeyReusedError, *DoneError, *ClaimedError
// and *TableError; after any of them the caller must not execute the request. If the table did not answer before ctx ended, Begin
// returns the claim along with the *TableError, as the write may still have taken effect: the caller should Release it.
func (c *Claims) Begin(ctx context.Context, key Key, requestDigest wire.Digest) (*Claim, error) {
	row := wire.ClaimRow{
		Workspace:     key.Workspace,
		RequestDigest: requestDigest,
		Attempt:       uuid.NewString(),
		Incarnation:   c.incarnation,
		State:         wire.ClaimStateRunning,
		Header:        []wire.HeaderField{},
		Body:          []byte{},
		At:            c.clock.Now(),
	}
	claim := &Claim{key: key, row: row}
	answer, err := c.writeWithRetry(ctx, claim, false)
	if err != nil {
		return claim, &TableError{Err: err}
	}
	if answer.Committed {
		claim.revision = answer.Revision
		return claim, nil
	}
	return c.resolveConflict(claim, answer, requestDigest)
}

// resolveConflict returns what the existing row means for a claim that could not be written.
func (c *Claims) resolveConflict(claim *Claim, answer wire.TransactAnswer, requestDigest wire.Digest) (*Claim, error) {
	existing, revision, err := conflictingRow(answer)
	switch {
	case err != nil:
		return nil, &TableError{Err: err}
	case existing.Attempt == claim.row.Attempt:
		claim.revision = revision
		return claim, nil
	case existing.RequestDigest != requestDigest:
		return nil, KeyReusedError{}
	case existing.State == wire.ClaimStateDone:
		return nil, &DoneError{Answer: Answer{Status: existing.Status, Header: existing.Header, Body: existing.Body}}
	}
	return nil, &ClaimedError{State: existing.State}
}

// Finish stores the answer of a claimed request. It retries until the table has accepted it or ctx ends.
func (c *Claims) Finish(ctx context.Context, claim *Claim, answer Answer) error {
	row := claim.row
	row.State = wire.ClaimStateDone
	row.Status = answer.Status
	row.Header = answer.Header
	row.Body = answer.Body
	return c.writeFinal(ctx, &Claim{key: claim.key, row: row, revision: claim.revision}, false)
}

// MarkUnknown marks the outcome of a claimed request as unknown, so that no repeat of it is executed.
func (c *Claims) MarkUnknown(ctx context.Context, claim *Claim) error {
	row := claim.row
	row.State = wire.ClaimStateUnknown
	return c.writeFinal(ctx, &Claim{key: claim.key, row: row, revision: claim.revision}, false)
}

// Release deletes a claim whose request was certainly not executed, so that a repeat of the request can be executed.
func (c *Claims) Release(ctx context.Context, claim *Claim) error {
	return c.writeFinal(ctx, claim, true)
}

// writeFinal writes a claim's final state, or deletes its row. A conflict with this attempt's own row means that an earlier write
// took effect and its answer was lost: either this write, so that nothing is left to do, or the one that began the claim, so that
// the write is repeated with the row's revision.
func (c *Claims) writeFinal(ctx context.Context, claim *Claim, del bool) error {
	for {
		answer, err := c.writeWithRetry(ctx, claim, del)
		if err != nil || answer.Committed {
			return err
		}
		existing, revision, err := conflictingRow(answer)
		switch {
		case errors.Is(err, errClaimMissing) && del:
			return nil
		case err != nil:
			return err
		case existing.Attempt != claim.row.Attempt:
			return &ClaimedError{State: existing.State}
		case existing.State != wire.ClaimStateRunning:
			return nil
		}
		claim.revision = revision
	}
}

// writeWithRetry repeats a write that is conditional on the claim's revision until the table answers or ctx ends.
func (c *Claims) writeWithRetry(ctx context.Context, claim *Claim, del bool) (wire.TransactAnswer, error) {
	value, err := json.Marshal(claim.row)
	if err != nil {
		return wire.TransactAnswer{}, err
	}
	key := claim.key.rowKey()
	request := wire.TransactRequest{
		Checks: []wire.Check{{Table: claimTable, Key: key, Revision: claim.revision}},
		Writes: []wire.Write{{Table: claimTable, Key: key, Value: value, Delete: del}},
	}
	backoff := initialBackoff
	for {
		answer, err := c.table.Transact(ctx, request)
		if err == nil {
			return answer, nil
		}
		select {
		case <-c.clock.After(backoff):
			backoff = min(2*backoff, maxBackoff)
		case <-ctx.Done():
			return wire.TransactAnswer{}, err
		}
	}
}

// errClaimMissing reports a conflict with a row that does not exist.
var errClaimMissing = errors.New("the claim's row is missing from the table")

// conflictingRow returns the existing row that made a conditional write fail, and its revision, or errClaimMissing if there is
// none.
func conflictingRow(answer wire.TransactAnswer) (wire.ClaimRow, wire.Revision, error) {
	var row wire.ClaimRow
	if len(answer.Conflicts) == 0 || answer.Conflicts[0].Revision == 0 {
		return row, 0, errClaimMissing
	}
	err := json.Unmarshal(answer.Conflicts[0].Value, &row)
	return row, answer.Conflicts[0].Revision, err
}
