package main

import (
	"testing"

	"cowslipshunt.example/shared/manual"
	"cowslipshunt.example/shared/process"
	"github.com/sebdah/goldie/v2"
)

func TestManualPageIsUpToDate(t *testing.T) {
	root := newRootCommand()
	process.Prepare(root)
	page := []byte(manual.Page(root))
	goldie.New(t, goldie.WithFixtureDir("../docs/man"), goldie.WithNameSuffix(".md")).Assert(t, programName, page)
}
