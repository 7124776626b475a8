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

// result is what one command did.
type result struct {
	out, remarks string
	err          error
}

func run(f *fakeEntry, args ...string) result {
	root := newRootCommand()
	process.Prepare(root)
	var out, remarks bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&remarks)
	root.SetArgs(append([]string{"--entry", f.address}, args...))
	err := root.ExecuteContext(context.Background())
	return result{out: out.String(), remarks: remarks.String(), err: err}
}

func TestCommandsPrint(t *testing.T) {
	t.Setenv(tokenVariable, testToken)
	var b strings.Builder
	for _, line := range []string{
		"document check ../examples/document.toml", "document check testdata/bad.toml", "document show --json",
		"document diff testdata/more.toml", "document diff testdata/more.toml --json", "document history",
		"document submit testdata/more.toml --base 6 --why growth", "document submit testdata/more.toml --base 7 --why growth",
		"status", "status --json", "audit", "audit --json", "orders", "usage", "usage --json", "audit --after noon",
	} {
		r := run(newFakeEntry(t), strings.Fields(line)...)
		fmt.Fprintf(&b, "$ cowslipshunt %s\n%s-- remarks\n%s-- exit code %d: %v\n\n", line, r.out, r.remarks, process.ExitCode(r.err), r.err)
	}
	goldie.New(t).Assert(t, "commands", []byte(b.String()))
}

func TestDocumentShowPrintsTheTextAlone(t *testing.T) {
	t.Setenv(tokenVariable, testToken)
	f := newFakeEntry(t)
	r := run(f, "document", "show")
	if r.err != nil || r.out != f.text || strings.Contains(r.remarks, "\x1b") {
		t.Errorf("got %q, remarks %q, %v", r.out, r.remarks, r.err)
	}
}

func TestKeyIssueAndWithdrawChangeOnlyThatKey(t *testing.T) {
	t.Setenv(tokenVariable, testToken)
	f := newFakeEntry(t)
	before, _ := document.Parse("before", []byte(f.text))
	f.races = maxRetries
	r := run(f, "key", "issue", "--workspace", "bluegum-venues", "--label", "kiosk", "--why", "new kiosk")
	if r.err != nil || !regexp.MustCompile(`^csh_[A-Za-z0-9_-]{43}\n$`).MatchString(r.out) || strings.Contains(r.remarks, "csh_") {
		t.Fatalf("got %q, remarks %q, %v", r.out, r.remarks, r.err)
	}
	digest := document.KeyDigest(strings.TrimSpace(r.out))
	issued, _ := document.Parse("issued", []byte(f.text))
	want := "workspace bluegum-venues: key kiosk added, Digest " + document.ShortDigest(digest)
	if lines := document.Difference(before, issued); len(lines) != 1 || lines[0] != want {
		t.Errorf("issuing changed %v, want %s", lines, want)
	}
	if _, ok := document.NewIndex(issued).KeyIndex().Workspace(digest); !ok {
		t.Error("the printed key is not in force")
	}
	if r := run(f, "key", "issue", "--workspace", "bluegum-venues", "--label", "kiosk", "--why", "again"); process.ExitCode(r.err) != process.ExitInput || r.out != "" {
		t.Errorf("a doubled label: %q, %v", r.out, r.err)
	}
	r = run(f, "key", "withdraw", "--workspace", "bluegum-venues", "--label", "kiosk", "--why", "lost")
	withdrawn, _ := document.Parse("withdrawn", []byte(f.text))
	if lines := document.Difference(before, withdrawn); r.err != nil || len(lines) != 0 {
		t.Errorf("withdrawing left %v, %v", lines, r.err)
	}
	if !strings.Contains(r.remarks, "not confirmed in: qld-b") {
		t.Errorf("the unconfirmed domain is not named: %q", r.remarks)
	}
}

func TestKeyIssueGivesUpAfterThreeRetries(t *testing.T) {
	t.Setenv(tokenVariable, testToken)
	f := newFakeEntry(t)
	f.races = maxRetries + 5
	r := run(f, "key", "issue", "--workspace", "bluegum-venues", "--label", "kiosk", "--why", "x")
	if process.ExitCode(r.err) != process.ExitConflict || r.out != "" || f.submits != 1+3 {
		t.Errorf("%d submissions, printed %q, %v", f.submits, r.out, r.err)
	}
}

func TestManualPageIsUpToDate(t *testing.T) {
	root := newRootCommand()
	process.Prepare(root)
	goldie.New(t, goldie.WithFixtureDir("../docs/man"), goldie.WithNameSuffix(".md")).Assert(t, "cowslipshunt", []byte(manual.Page(root)))
}
