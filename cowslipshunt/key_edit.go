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
	// maxRetries bounds how often an edit is retried after a conflict.
	maxRetries = 3
	// editedDocumentName stands for the file name in findings about an edited document.
	editedDocumentName = "edited document"
)

// submitter reads and submits documents.
type submitter interface {
	documentReader
	Submit(ctx context.Context, r wire.SubmitRequest) (wire.SubmitAnswer, error)
}

// keyEdit is a change to the keys of one workspace in the document in force. change applies it to the workspace.
type keyEdit struct {
	workspace wire.WorkspaceName
	label     string
	why       string
	change    func(w *document.Workspace) error
}

// submit applies the edit to the document in force and submits the result. It retries after a conflict, up to maxRetries times.
func (e *keyEdit) submit(ctx context.Context, client submitter) (wire.SubmitAnswer, error) {
	for n := 0; ; n++ {
		answer, err := e.submitOnce(ctx, client)
		var conflict *console.ConflictError
		if !errors.As(err, &conflict) || n == maxRetries {
			return answer, err
		}
	}
}

func (e *keyEdit) submitOnce(ctx context.Context, client submitter) (wire.SubmitAnswer, error) {
	version, d, err := documentInForce(ctx, client)
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
	if _, err := document.Parse(editedDocumentName, text); err != nil {
		return wire.SubmitAnswer{}, err
	}
	return client.Submit(ctx, wire.SubmitRequest{BaseVersion: version, File: editedDocumentName, Text: string(text), Why: e.why})
}

func (e *keyEdit) apply(d *document.Document) error {
	i := slices.IndexFunc(d.Workspace, func(w document.Workspace) bool {
		return w.Name == e.workspace
	})
	if i < 0 {
		return inputError("no workspace %q in the document in force", e.workspace)
	}
	return e.change(&d.Workspace[i])
}

func (e *keyEdit) hasLabel(k document.Key) bool {
	return k.Label == e.label
}
