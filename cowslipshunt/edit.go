package main

import (
	"context"
	"errors"
	"slices"

	"cowslipshunt.example/shared/console"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
)

const (
	// maxRetries is how often an edit is tried again after a conflict.
	maxRetries = 3
	// editFile names an edited document in findings.
	editFile = "edited document"
)

// submitter reads and submits documents.
type submitter interface {
	documents
	Submit(ctx context.Context, r wire.SubmitRequest) (wire.SubmitAnswer, error)
}

// edit changes one workspace's keys in the document in force.
type edit struct {
	workspace wire.WorkspaceName
	label     string
	why       string
	change    func(w *document.Workspace) error
}

// submit applies the edit to the document in force and submits it, again after each conflict up to maxRetries times.
func (e *edit) submit(ctx context.Context, to submitter) (wire.SubmitAnswer, error) {
	for n := 0; ; n++ {
		answer, err := e.submitOnce(ctx, to)
		var conflict *console.ConflictError
		if !errors.As(err, &conflict) || n == maxRetries {
			return answer, err
		}
	}
}

func (e *edit) submitOnce(ctx context.Context, to submitter) (wire.SubmitAnswer, error) {
	version, d, err := inForce(ctx, to)
	if err != nil {
		return wire.SubmitAnswer{}, err
	}
	if err := e.apply(d); err != nil {
		return wire.SubmitAnswer{}, err
	}
	text, err := document.Encode(d)
	if err != nil {
		return wire.SubmitAnswer{}, err
	}
	if _, err := document.Parse(editFile, text); err != nil {
		return wire.SubmitAnswer{}, err
	}
	return to.Submit(ctx, wire.SubmitRequest{BaseVersion: version, File: editFile, Text: string(text), Why: e.why})
}

func (e *edit) apply(d *document.Document) error {
	i := slices.IndexFunc(d.Workspace, func(w document.Workspace) bool {
		return w.Name == e.workspace
	})
	if i < 0 {
		return inputError("there is no workspace %q in the document in force", e.workspace)
	}
	return e.change(&d.Workspace[i])
}

func (e *edit) isLabelled(k document.Key) bool {
	return k.Label == e.label
}
