package console

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"cowslipshunt.example/shared/finding"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/wire"
)

// ConflictError means that a submission was rejected because its base version is no longer in force. Nothing was changed.
type ConflictError struct {
	Conflict wire.SubmitConflict
}

// Error names the version in force and lists the changes since the base version, one per line.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("conflict: version %d is in force", e.Conflict.CurrentVersion)
	if len(e.Conflict.Difference) == 0 {
		return text
	}
	return text + "; since the base version:\n  " + strings.Join(e.Conflict.Difference, "\n  ")
}

// ProcessCode returns process.ExitConflict.
func (e *ConflictError) ProcessCode() int {
	return process.ExitConflict
}

// FindingsError lists what is wrong with a submitted document. Nothing was changed.
type FindingsError struct {
	List finding.List
}

// Error returns the findings, one per line.
func (e *FindingsError) Error() string {
	return e.List.Error()
}

// Unwrap returns the findings.
func (e *FindingsError) Unwrap() error {
	return e.List
}

// ProblemError is any other rejection, with the title and detail of an RFC 9457 problem document. If the status is below 500,
// nothing was changed.
type ProblemError struct {
	Status int    `json:"-"`
	Title  string `json:"title"`
	Detail string `json:"detail"`
}

// Error names the status, the title and the detail.
func (e *ProblemError) Error() string {
	text := fmt.Sprintf("entry refused: status %d", e.Status)
	for _, part := range []string{e.Title, e.Detail} {
		if part != "" {
			text += ": " + part
		}
	}
	return text
}

// OutcomeUnknownError means that a submission may have taken effect: its answer was lost or unreadable, or the entry answered with
// a server error.
type OutcomeUnknownError struct {
	Err error
}

// Error says where to look up whether the submission took effect, and why the call failed.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the submission may have taken effect, see the document's history: %v", e.Err)
}

// Unwrap returns the error of the call.
func (e *OutcomeUnknownError) Unwrap() error {
	return e.Err
}

// decodeError returns the error for an answer with a status other than 200.
func decodeError(status int, body []byte) error {
	switch status {
	case http.StatusConflict:
		e := &ConflictError{}
		if json.Unmarshal(body, &e.Conflict) == nil && e.Conflict.CurrentVersion > 0 {
			return e
		}
	case http.StatusUnprocessableEntity:
		var rows wire.FindingList
		if json.Unmarshal(body, &rows) == nil && len(rows.Findings) > 0 {
			return &FindingsError{List: findingList(rows)}
		}
	}
	e := &ProblemError{}
	if json.Unmarshal(body, e) != nil || e.Title == "" {
		e.Title = http.StatusText(status)
	}
	e.Status = status
	return e
}

func findingList(rows wire.FindingList) finding.List {
	list := make(finding.List, 0, len(rows.Findings))
	for _, f := range rows.Findings {
		list = append(list, finding.Finding{File: f.File, Line: f.Line, Column: f.Column, Field: f.Field, Text: f.Text})
	}
	return list
}
