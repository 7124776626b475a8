package document

import (
	"fmt"
	"slices"
	"strings"

	"cowslipshunt.example/wire"
)

// part is one thing of a document that can be added, removed or changed.
type part struct {
	// Title names the part; no two parts of a document share one.
	Title string
	// Gone says what a removal is called.
	Gone   string
	Fields []fact
}

// fact is one field of a part. Shown is what people read of Value; a zero Value is Default.
type fact struct {
	Name    string
	Value   string
	Shown   string
	Default bool
}

// Difference tells what changes from one document to another: one line a change, sorted, in the words of the document.
// A nil document is an empty one. Of a digest it shows the first 12 hex digits.
func Difference(old, new *Document) []string {
	before, after := parts(old), parts(new)
	var lines []string
	for title, p := range before {
		if _, ok := after[title]; !ok {
			lines = append(lines, p.Title+" "+p.Gone)
		}
	}
	for title, p := range after {
		if was, ok := before[title]; ok {
			lines = append(lines, was.changes(p)...)
		} else {
			lines = append(lines, p.added())
		}
	}
	slices.Sort(lines)
	return lines
}

func (p part) added() string {
	var b strings.Builder
	b.WriteString(p.Title + " added")
	for _, f := range p.Fields {
		if !f.Default {
			fmt.Fprintf(&b, ", %s %s", f.Name, f.Shown)
		}
	}
	return b.String()
}

func (p part) changes(now part) []string {
	var lines []string
	for i, f := range p.Fields {
		if g := now.Fields[i]; f.Value != g.Value {
			lines = append(lines, fmt.Sprintf("%s %s %s -> %s", p.Title, f.Name, f.Shown, g.Shown))
		}
	}
	return lines
}

func parts(d *Document) map[string]part {
	all := map[string]part{}
	if d == nil {
		return all
	}
	add := func(title, gone string, fields ...fact) {
		all[title] = part{Title: title, Gone: gone, Fields: fields}
	}
	for _, m := range d.Model {
		add(fmt.Sprintf("model %s:", m.Name), "removed", m.facts()...)
	}
	for _, k := range d.EndpointKind {
		add(fmt.Sprintf("endpoint kind %s:", k.Name), "removed", k.facts()...)
	}
	for _, f := range d.Fleet {
		add(fmt.Sprintf("fleet %s: %s", f.Domain, f.Kind), "removed", newFact("Count", f.Count))
	}
	for _, r := range d.Route {
		add(fmt.Sprintf("route %s:", r.title()), "removed", r.facts()...)
	}
	for _, w := range d.Workspace {
		addWorkspace(add, w)
	}
	return all
}

func addWorkspace(add func(title, gone string, fields ...fact), w Workspace) {
	title := fmt.Sprintf("workspace %s:", w.Name)
	add(title, "removed", w.facts()...)
	for _, m := range w.Models {
		add(fmt.Sprintf("%s model %s", title, m), "removed")
	}
	for _, s := range w.Services {
		add(fmt.Sprintf("%s service %s", title, s), "removed")
	}
	for _, k := range w.Key {
		add(fmt.Sprintf("%s key %s", title, k.Label), "withdrawn", digestFact("Digest", k.Digest))
	}
}

func newFact[T comparable](name string, value T) fact {
	var zero T
	text := fmt.Sprint(value)
	shown := text
	if text == "" {
		shown = "none"
	}
	return fact{Name: name, Value: text, Shown: shown, Default: value == zero}
}

func digestFact(name string, d wire.Digest) fact {
	return fact{Name: name, Value: string(d), Shown: ShortDigest(d)}
}
