package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"cowslipshunt.example/entry/follower"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/finding"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/wire"
	"github.com/google/uuid"
)

const (
	// maxDocumentBytes bounds the body of a submission.
	maxDocumentBytes = 8 << 20
	// acceptTimeout bounds the acceptance of a submission in the store, with its retries.
	acceptTimeout = 10 * time.Second
	// retryInterval is the delay between two attempts to write a submission.
	retryInterval = 100 * time.Millisecond
	// confirmTimeout bounds the wait for the instances to confirm the new version.
	confirmTimeout = 5 * time.Second
)

// Tables, keys and the recorded action of an accepted document.
const (
	tableAudit             = "audit"
	actionDocumentAccepted = "DocumentAccepted"
	tableDocument          = follower.Table
	keyCurrent             = follower.KeyCurrent
	auditKeyPattern        = "%020d-%s"
)

// errSuperseded means that another submission was accepted first.
var errSuperseded = errors.New("another document was accepted first")

// submit accepts a document if it is valid and based on the newest version. It puts the document in force in this entry and answers
// with the failure domains that have confirmed it and those that have not.
func (s *Server) submit(w http.ResponseWriter, r *http.Request, operator string) {
	var request wire.SubmitRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDocumentBytes)).Decode(&request); err != nil {
		problem.New(http.StatusBadRequest, problem.NotRun, "the body does not decode: %v", err).Write(w)
		return
	}
	if _, err := document.Parse(request.File, []byte(request.Text)); err != nil {
		writeFindings(w, err)
		return
	}
	if request.Why == "" {
		problem.New(http.StatusBadRequest, problem.NotRun, "Why is missing").Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), acceptTimeout)
	defer cancel()
	row, err := s.accept(ctx, request, operator)
	switch {
	case errors.Is(err, errSuperseded):
		s.writeConflict(ctx, w, request.BaseVersion)
	case err != nil:
		problem.New(http.StatusServiceUnavailable, problem.Unknown, "the store did not say whether it took the document: %v", err).After(storeRetryAfter).Write(w)
	default:
		s.logger.Info().Str("Who", operator).Str("Why", request.Why).Int("Version", int(row.Version)).Msg("document accepted")
		s.applier.Apply(row.Version, row.Digest, []byte(request.Text))
		writeJSON(w, http.StatusOK, s.awaitConfirmations(r.Context(), row))
	}
}

// writeFindings answers with the findings in a document that is not valid.
func writeFindings(w http.ResponseWriter, err error) {
	var findings finding.List
	if !errors.As(err, &findings) {
		problem.New(http.StatusBadRequest, problem.NotRun, "%v", err).Write(w)
		return
	}
	list := wire.FindingList{Findings: []wire.FindingRow{}}
	for _, f := range findings {
		list.Findings = append(list.Findings, wire.FindingRow{File: f.File, Line: f.Line, Column: f.Column, Field: f.Field, Text: f.Text})
	}
	writeJSON(w, http.StatusUnprocessableEntity, list)
}

// accept makes the submission the newest document, in one transaction with its audit entry. It retries failed writes until ctx
// ends. If a write took effect although its answer was lost, the retry recognizes its own row.
func (s *Server) accept(ctx context.Context, request wire.SubmitRequest, operator string) (wire.DocumentRow, error) {
	row := wire.DocumentRow{
		Version: request.BaseVersion + 1,
		Digest:  document.Digest([]byte(request.Text)),
		Who:     operator,
		Why:     request.Why,
		At:      s.clock.Now().UTC(),
	}
	for {
		err := s.tryAccept(ctx, request, row)
		if err == nil || errors.Is(err, errSuperseded) {
			return row, err
		}
		select {
		case <-s.clock.After(retryInterval):
		case <-ctx.Done():
			return row, err
		}
	}
}

// tryAccept writes the submission once. It returns errSuperseded if another one was accepted on the same base version.
func (s *Server) tryAccept(ctx context.Context, request wire.SubmitRequest, row wire.DocumentRow) error {
	if err := s.store.PutObject(ctx, row.Digest, []byte(request.Text)); err != nil {
		return err
	}
	current, revision, err := s.loadCurrentRow(ctx)
	if err != nil {
		return err
	}
	if current.Version != request.BaseVersion {
		return s.checkOwnWrite(ctx, row)
	}
	writes, err := acceptWrites(row)
	if err != nil {
		return err
	}
	answer, err := s.store.Transact(ctx, wire.TransactRequest{
		Checks: []wire.Check{{Table: tableDocument, Key: keyCurrent, Revision: revision}},
		Writes: writes,
	})
	if err != nil {
		return err
	}
	if !answer.Committed {
		return s.checkOwnWrite(ctx, row)
	}
	return nil
}

// checkOwnWrite returns nil if the stored row of the version is row itself, written earlier although the answer was lost. It returns
// errSuperseded if the row is missing or belongs to another submission.
func (s *Server) checkOwnWrite(ctx context.Context, row wire.DocumentRow) error {
	rows, err := s.store.Read(ctx, tableDocument, follower.VersionKey(row.Version))
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		return errSuperseded
	}
	var existing wire.DocumentRow
	if err := json.Unmarshal(rows[0].Value, &existing); err != nil {
		return err
	}
	if existing.Digest == row.Digest && existing.Who == row.Who && existing.At.Equal(row.At) {
		return nil
	}
	return errSuperseded
}

// loadCurrentRow returns the row of the newest document and its revision, or zero values if no document was accepted yet.
func (s *Server) loadCurrentRow(ctx context.Context) (wire.DocumentRow, wire.Revision, error) {
	var row wire.DocumentRow
	rows, err := s.store.Read(ctx, tableDocument, keyCurrent)
	if err != nil || len(rows) == 0 {
		return row, 0, err
	}
	return row, rows[0].Revision, json.Unmarshal(rows[0].Value, &row)
}

// acceptWrites returns the writes that accept a document: the current row, the row of its version, and an audit entry whose key
// orders entries by time.
func acceptWrites(row wire.DocumentRow) ([]wire.Write, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return nil, err
	}
	audit, err := json.Marshal(wire.AuditRow{
		At:              row.At,
		Who:             row.Who,
		What:            actionDocumentAccepted,
		Why:             row.Why,
		Subject:         string(row.Digest),
		DocumentVersion: row.Version,
	})
	if err != nil {
		return nil, err
	}
	return []wire.Write{
		{Table: tableDocument, Key: keyCurrent, Value: value},
		{Table: tableDocument, Key: follower.VersionKey(row.Version), Value: value},
		{Table: tableAudit, Key: fmt.Sprintf(auditKeyPattern, row.At.UnixNano(), uuid.NewString()), Value: audit},
	}, nil
}

// awaitConfirmations waits up to confirmTimeout until every instance has the version in force, and returns which failure domains
// have confirmed it.
func (s *Server) awaitConfirmations(ctx context.Context, row wire.DocumentRow) wire.SubmitAnswer {
	deadline := s.clock.After(confirmTimeout)
	for {
		versions, changed := s.control.AppliedVersions()
		answer := s.submitAnswer(row, versions)
		if len(answer.Unconfirmed) == 0 {
			return answer
		}
		select {
		case <-changed:
		case <-deadline:
			return answer
		case <-ctx.Done():
			return answer
		}
	}
}

// submitAnswer sorts failure domains into confirmed and unconfirmed. A domain is confirmed if all of its instances are.
func (s *Server) submitAnswer(row wire.DocumentRow, versions map[wire.InstanceName]wire.DocumentVersion) wire.SubmitAnswer {
	behind := map[wire.DomainName]bool{s.self.Domain: versions[s.self.Instance] < row.Version}
	for _, p := range s.peers {
		behind[p.Domain] = behind[p.Domain] || versions[p.Instance] < row.Version
	}
	answer := wire.SubmitAnswer{Version: row.Version, Digest: row.Digest, Confirmed: []wire.DomainName{}, Unconfirmed: []wire.DomainName{}}
	for domain, isBehind := range behind {
		if isBehind {
			answer.Unconfirmed = append(answer.Unconfirmed, domain)
		} else {
			answer.Confirmed = append(answer.Confirmed, domain)
		}
	}
	slices.Sort(answer.Confirmed)
	slices.Sort(answer.Unconfirmed)
	return answer
}

// writeConflict answers a submission that was superseded with the changes since its base version.
func (s *Server) writeConflict(ctx context.Context, w http.ResponseWriter, base wire.DocumentVersion) {
	current, _, err := s.loadCurrentRow(ctx)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	conflict := wire.SubmitConflict{CurrentVersion: current.Version, Difference: []string{}}
	baseDocument, baseErr := s.parsedDocument(ctx, base)
	currentDocument, currentErr := s.parsedDocument(ctx, current.Version)
	if baseErr == nil && currentErr == nil {
		conflict.Difference = append(conflict.Difference, document.Difference(baseDocument, currentDocument)...)
	}
	writeJSON(w, http.StatusConflict, conflict)
}

// parsedDocument loads and parses an accepted document. Version zero stands for an empty document.
func (s *Server) parsedDocument(ctx context.Context, version wire.DocumentVersion) (*document.Document, error) {
	if version == 0 {
		return &document.Document{}, nil
	}
	answer, err := s.loadDocument(ctx, version)
	if err != nil {
		return nil, err
	}
	return document.Parse(follower.VersionKey(version), []byte(answer.Text))
}
