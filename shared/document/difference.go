package document

import (
	"fmt"
	"slices"
	"strings"

	"cowslipshunt.example/wire"
)

// item is one part of a document that can be added, removed or changed as a whole.
type item struct {
	// Title identifies the item within its document.
	Title string
	// RemovalVerb is the word for removing the item, such as "removed".
	RemovalVerb string
	Fields      []itemField
}

// itemField is one field of an item. Value is compared, Display is the text shown for it. A field with IsDefault is left out
// of the line for an added item.
type itemField struct {
	Name      string
	Value     string
	Display   string
	IsDefault bool
}

// Difference describes the changes from one document to another, one line per change, sorted, with the names of the document's
// fields. A nil document counts as an empty one. Digests are shortened to their first 12 hex digits.
func Difference(old, new *Document) []string {
	before, after := itemsByTitle(old), itemsByTitle(new)
	var lines []string
	for title, it := range before {
		if _, ok := after[title]; !ok {
			lines = append(lines, it.Title+" "+it.RemovalVerb)
		}
	}
	for title, it := range after {
		if previous, ok := before[title]; ok {
			lines = append(lines, previous.changes(it)...)
		} else {
			lines = append(lines, it.added())
		}
	}
	slices.Sort(lines)
	return lines
}

// added returns the line for an item that only the newer document has.
func (it item) added() string {
	var b strings.Builder
	b.WriteString(it.Title + " added")
	for _, f := range it.Fields {
		if !f.IsDefault {
			fmt.Fprintf(&b, ", %s %s", f.Name, f.Display)
		}
	}
	return b.String()
}

// changes returns a line for each field that differs in the newer item.
func (it item) changes(newer item) []string {
	var lines []string
	for i, f := range it.Fields {
		if g := newer.Fields[i]; f.Value != g.Value {
			lines = append(lines, fmt.Sprintf("%s %s %s -> %s", it.Title, f.Name, f.Display, g.Display))
		}
	}
	return lines
}

// itemsByTitle returns all items of a document by their titles.
func itemsByTitle(d *Document) map[string]item {
	all := map[string]item{}
	if d == nil {
		return all
	}
	add := func(title, removalVerb string, fields ...itemField) {
		all[title] = item{Title: title, RemovalVerb: removalVerb, Fields: fields}
	}
	for _, m := range d.Model {
		add(fmt.Sprintf("model %s:", m.Name), "removed", m.itemFields()...)
	}
	for _, k := range d.EndpointKind {
		add(fmt.Sprintf("endpoint kind %s:", k.Name), "removed", k.itemFields()...)
	}
	for _, f := range d.Fleet {
		add(fmt.Sprintf("fleet %s: %s", f.Domain, f.Kind), "removed", newItemField("Count", f.Count))
	}
	for _, r := range d.Route {
		add(fmt.Sprintf("route %s:", r.displayName()), "removed", r.itemFields()...)
	}
	for _, w := range d.Workspace {
		addWorkspace(add, w)
	}
	return all
}

func addWorkspace(add func(title, removalVerb string, fields ...itemField), w Workspace) {
	title := fmt.Sprintf("workspace %s:", w.Name)
	add(title, "removed", w.itemFields()...)
	for _, m := range w.Models {
		add(fmt.Sprintf("%s model %s", title, m), "removed")
	}
	for _, s := range w.Services {
		add(fmt.Sprintf("%s service %s", title, s), "removed")
	}
	for _, k := range w.Key {
		add(fmt.Sprintf("%s key %s", title, k.Label), "withdrawn", newDigestField("Digest", k.Digest))
	}
}

// newItemField returns the field for a value, whose default is the zero value.
func newItemField[T comparable](name string, value T) itemField {
	var zero T
	text := fmt.Sprint(value)
	display := text
	if text == "" {
		display = "none"
	}
	return itemField{Name: name, Value: text, Display: display, IsDefault: value == zero}
}

func newDigestField(name string, d wire.Digest) itemField {
	return itemField{Name: name, Value: string(d), Display: ShortDigest(d)}
}
