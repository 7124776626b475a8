package main

import (
	"bytes"
	"context"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/manual"
	"cowslipshunt.example/shared/process"
	"github.com/sebdah/goldie/v2"
)

// result is the output and the error of one command.
type result struct {
	stdout, stderr string
	err            error
}

func runCommand(f *fakeEntry, args ...string) result {
	root := newRootCommand()
	process.Prepare(root)
	var stdout, stderr bytes.Buffer
	root.SetOut(&stdout)
	root.SetErr(&stderr)
	root.SetArgs(append([]string{"--entry", f.address}, args...))
	err := root.ExecuteContext(context.Background())
	return result{stdout: stdout.String(), stderr: stderr.String(), err: err}
}

func TestCommandOutput(t *testing.T) {
	t.Setenv(tokenVariable, testToken)
	var b strings.Builder
	for _, line := range []string{
		"document check ../examples/document.toml", "document check testdata/bad.toml", "document show --json",
		"document diff testdata/more.toml", "document diff testdata/more.toml --json", "document history",
		"document submit testdata/more.toml --base 6 --why growth", "document submit testdata/more.toml --base 7 --why growth",
		"status", "status --json", "audit", "audit --json", "orders", "usage", "usage --json", "audit --after noon",
	} {
		r := runCommand(newFakeEntry(t), strings.Fields(line)...)
		fmt.Fprintf(&b, "$ cowslipshunt %s\n%s-- stderr\n%s-- exit code %d: %v\n\n", line, r.stdout, r.stderr, process.ExitCode(r.err), r.err)
	}
	goldie.New(t).Assert(t, "commands", []byte(b.String()))
}

func TestDocumentShowPrintsOnlyTextToStdout(t *testing.T) {
	t.Setenv(tokenVariable, testToken)
	f := newFakeEntry(t)
	r := runCommand(f, "document", "show")
	if r.err != nil || r.stdout != f.text || strings.Contains(r.stderr, "\x1b") {
		t.Errorf("got %q, stderr %q, %v", r.stdout, r.stderr, r.err)
	}
}

func TestKeyIssueAndWithdrawChangeOnlyOneKey(t *testing.T) {
	t.Setenv(tokenVariable, testToken)
	f := newFakeEntry(t)
	before, _ := document.Parse("before", []byte(f.text))
	f.conflicts = maxRetries
	r := runCommand(f, "key", "issue", "--workspace", "bluegum-venues", "--label", "kiosk", "--why", "new kiosk")
	if r.err != nil || !regexp.MustCompile(`^csh_[A-Za-z0-9_-]{43}\n$`).MatchString(r.stdout) || strings.Contains(r.stderr, "csh_") {
		t.Fatalf("got %q, stderr %q, %v", r.stdout, r.stderr, r.err)
	}
	digest := document.KeyDigest(strings.TrimSpace(r.stdout))
	issued, _ := document.Parse("issued", []byte(f.text))
	want := "workspace bluegum-venues: key kiosk added, Digest " + document.ShortDigest(digest)
	if lines := document.Difference(before, issued); len(lines) != 1 || lines[0] != want {
		t.Errorf("issuing changed %v, want %s", lines, want)
	}
	if _, ok := document.NewIndex(issued).KeyIndex().Workspace(digest); !ok {
		t.Error("the printed key is not in force")
	}
	if r := runCommand(f, "key", "issue", "--workspace", "bluegum-venues", "--label", "kiosk", "--why", "again"); process.ExitCode(r.err) != process.ExitInput || r.stdout != "" {
		t.Errorf("a label that is already in use: %q, %v", r.stdout, r.err)
	}
	r = runCommand(f, "key", "withdraw", "--workspace", "bluegum-venues", "--label", "kiosk", "--why", "lost")
	withdrawn, _ := document.Parse("withdrawn", []byte(f.text))
	if lines := document.Difference(before, withdrawn); r.err != nil || len(lines) != 0 {
		t.Errorf("after the withdrawal the document differs from the original by %v; error %v", lines, r.err)
	}
	if !strings.Contains(r.stderr, "not confirmed in: qld-b") {
		t.Errorf("the unconfirmed domain is not named: %q", r.stderr)
	}
}

func TestKeyIssueFailsAfterThreeRetries(t *testing.T) {
	t.Setenv(tokenVariable, testToken)
	f := newFakeEntry(t)
	f.conflicts = maxRetries + 5
	r := runCommand(f, "key", "issue", "--workspace", "bluegum-venues", "--label", "kiosk", "--why", "x")
	if process.ExitCode(r.err) != process.ExitConflict || r.stdout != "" || f.submits != 1+3 {
		t.Errorf("%d submissions, printed %q, %v", f.submits, r.stdout, r.err)
	}
}

func TestManualPageIsUpToDate(t *testing.T) {
	root := newRootCommand()
	process.Prepare(root)
	goldie.New(t, goldie.WithFixtureDir("../docs/man"), goldie.WithNameSuffix(".md")).Assert(t, "cowslipshunt", []byte(manual.Page(root)))
}
