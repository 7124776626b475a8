package document_test

import (
	"errors"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/finding"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

func TestParseReportsAllFindings(t *testing.T) {
	text, err := os.ReadFile("testdata/bad.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, err = document.Parse("bad.toml", text)
	var list finding.List
	if !errors.As(err, &list) {
		t.Fatalf("got %v, want findings", err)
	}
	if strings.Contains(list.Error(), "csh_pasted") {
		t.Error("a finding contains the API key that was pasted as a digest")
	}
	goldie.New(t).Assert(t, "bad", []byte(list.Error()+"\n"))
}

func TestParseLocatesTypeAndSyntaxErrors(t *testing.T) {
	for _, text := range []string{"[[Model]]\nName = 1\n", "[[Model]\n", "[[Fleet]]\nCount = 1\nCount = 2\n"} {
		_, err := document.Parse("x.toml", []byte(text))
		list, _ := err.(finding.List)
		if len(list) != 1 || list[0].Line == 0 {
			t.Errorf("%q: got %v, want one finding with a line", text, err)
		}
	}
}

func TestEncodeParseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDocument(t)
		text, err := document.Encode(d)
		if err != nil {
			t.Fatal(err)
		}
		got, err := document.Parse("drawn.toml", text)
		if err != nil {
			t.Fatalf("%v in\n%s", err, text)
		}
		if !reflect.DeepEqual(got, d) {
			t.Fatalf("got %+v\nwant %+v\ntext:\n%s", got, d, text)
		}
	})
}

func TestDifferenceShowsAChangeOfEveryField(t *testing.T) {
	longDigest := regexp.MustCompile(`[0-9a-f]{13}`)
	rapid.Check(t, func(t *rapid.T) {
		d := drawDocument(t)
		if lines := document.Difference(d, d); len(lines) != 0 {
			t.Fatalf("Difference of a document and itself is not empty: %v", lines)
		}
		other := cloneDocument(t, d)
		values := leafValues(reflect.ValueOf(other).Elem())
		if len(values) == 0 {
			return // an empty document has no value to change
		}
		mutate(rapid.SampledFrom(values).Draw(t, "field"))
		lines := document.Difference(d, other)
		if len(lines) == 0 {
			t.Fatalf("no line for the change from %+v to %+v", d, other)
		}
		if text := strings.Join(lines, "\n"); longDigest.MatchString(text) {
			t.Fatalf("a digest is not shortened in %s", text)
		}
	})
}

func TestDifferenceText(t *testing.T) {
	before, after := parse(t, "testdata/before.toml"), parse(t, "testdata/after.toml")
	text := strings.Join(document.Difference(before, after), "\n") + "\n\nfrom nothing:\n" +
		strings.Join(document.Difference(nil, before), "\n") + "\n"
	goldie.New(t).Assert(t, "difference", []byte(text))
}

func parse(t *testing.T, file string) *document.Document {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	d, err := document.Parse(file, text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
