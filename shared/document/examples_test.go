package document_test

import (
	"os"
	"strings"
	"testing"

	"cowslipshunt.example/shared/document"
)

func TestTheExampleDocumentParses(t *testing.T) {
	x := document.NewIndex(parse(t, "../../examples/document.toml"))
	if w, ok := x.KeyIndex().Workspace(document.KeyDigest("example-key")); !ok || w.Name != "bluegum-venues" {
		t.Errorf("the key's workspace is %q, %v", w.Name, ok)
	}
	if x.RouteFor("booking", "POST", "/bookings").Repeatable || !x.RouteFor("booking", "GET", "/bookings/1").Repeatable {
		t.Error("only GET may be repeatable")
	}
}

func TestThePageShowsTheExampleDocument(t *testing.T) {
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
