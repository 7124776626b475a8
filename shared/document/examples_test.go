package document_test

import (
	"os"
	"strings"
	"testing"

	"cowslipshunt.example/shared/document"
)

func TestExampleDocumentParses(t *testing.T) {
	x := document.NewIndex(parse(t, "../../examples/document.toml"))
	if w, ok := x.KeyIndex().Workspace(document.KeyDigest("example-key")); !ok || w.Name != "bluegum-venues" {
		t.Errorf("the example key belongs to workspace %q, found %v", w.Name, ok)
	}
	if x.RouteFor("booking", "POST", "/bookings").Repeatable || !x.RouteFor("booking", "GET", "/bookings/1").Repeatable {
		t.Error("not just GET requests are repeatable")
	}
}

func TestDocumentPageIncludesExample(t *testing.T) {
	example, err := os.ReadFile("../../examples/document.toml")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/document.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), "```toml\n"+string(example)+"```\n") {
		t.Error("docs/document.md does not show examples/document.toml")
	}
}
