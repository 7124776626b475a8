// Package setting reads TOML files strictly and tells the place of every finding.
package setting

import (
	"errors"
	"fmt"
	"strings"

	"cowslipshunt.example/shared/finding"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// UnknownField is the text of a finding about a field that the file should not have. Decode reports these after it has
// read everything else.
const UnknownField = "unknown field"

// DuplicateField is the text of a finding about a field that stands in its table before in another case. The case of names
// does not matter, so the later one would win in silence. Decode reports these too after it has read everything else.
const DuplicateField = "is given before in another case"

// Places maps the fields of one TOML file to where they stand.
type Places struct {
	file string
	// at has the fields' names in lower case.
	at map[string]unstable.Position
	// spelt is how each field and table was spelt first, by its name in lower case.
	spelt      map[string]string
	duplicates finding.List
}

// Finding returns a finding at a field such as "Workspace[1].Key[0].Digest". A field that the file lacks takes the place
// of the nearest table around it.
func (p *Places) Finding(field, format string, args ...any) finding.Finding {
	f := finding.Finding{File: p.file, Field: field, Text: fmt.Sprintf(format, args...)}
	for path := field; path != ""; path = parent(path) {
		if at, ok := p.at[strings.ToLower(path)]; ok {
			f.Line, f.Column = at.Line, at.Column
			break
		}
	}
	return f
}

func parent(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

// Decode reads TOML text into a struct. Unknown fields, wrong types and syntax errors are findings.
func Decode(file string, data []byte, into any) (*Places, finding.List) {
	places := &Places{file: file, at: map[string]unstable.Position{}, spelt: map[string]string{}}
	places.scan(data)
	decoder := toml.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	return places, append(places.findings(decoder.Decode(into)), places.duplicates...)
}

func (p *Places) findings(err error) finding.List {
	var missing *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &missing):
		var list finding.List
		for _, e := range missing.Errors {
			list = append(list, p.at1(&e, UnknownField))
		}
		return list
	case errors.As(err, &decode):
		return finding.List{p.at1(decode, strings.TrimPrefix(decode.Error(), "toml: "))}
	}
	return finding.List{{File: p.file, Text: err.Error()}}
}

func (p *Places) at1(e *toml.DecodeError, text string) finding.Finding {
	row, column := e.Position()
	return finding.Finding{File: p.file, Line: row, Column: column, Field: strings.Join(e.Key(), "."), Text: text}
}

// scan notes where each key and table stands. A syntax error ends it early; the decoder reports that error.
func (p *Places) scan(data []byte) {
	parser := unstable.Parser{}
	parser.Reset(data)
	count := map[string]int{}
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.Table:
			table = p.resolve(keys(node), count)
			p.note(&parser, node, table)
		case unstable.ArrayTable:
			table = p.resolve(keys(node), count)
			n := count[table]
			count[table]++
			table = fmt.Sprintf("%s[%d]", table, n)
			p.note(&parser, node, table)
		case unstable.KeyValue:
			p.noteValue(&parser, node, table)
		}
	}
}

// noteValue notes a key and what its value holds in inline tables.
func (p *Places) noteValue(parser *unstable.Parser, node *unstable.Node, table string) {
	path := join(table, strings.Join(keys(node), "."))
	p.note(parser, node, path)
	p.inside(parser, node.Value(), path)
}

func (p *Places) inside(parser *unstable.Parser, value *unstable.Node, path string) {
	n := 0
	for it := value.Children(); it.Next(); {
		child := it.Node()
		switch {
		case value.Kind == unstable.InlineTable:
			p.noteValue(parser, child, path)
		case value.Kind == unstable.Array:
			p.inside(parser, child, fmt.Sprintf("%s[%d]", path, n))
			n++
		}
	}
}

// resolve turns a header's keys into a path, each array on the way standing for its last element.
func (p *Places) resolve(names []string, count map[string]int) string {
	path := ""
	for i, name := range names {
		path = join(path, name)
		if n := count[path]; n > 0 && i < len(names)-1 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

func (p *Places) note(parser *unstable.Parser, node *unstable.Node, path string) {
	it := node.Key()
	if !it.Next() {
		return
	}
	at := parser.Shape(it.Node().Raw).Start
	p.at[strings.ToLower(path)] = at
	p.spell(path, at)
}

// spell finds a field, or a table around it, that was spelt in another case before.
func (p *Places) spell(path string, at unstable.Position) {
	for name := path; name != ""; name = parent(name) {
		lower := strings.ToLower(name)
		first, seen := p.spelt[lower]
		if !seen {
			p.spelt[lower] = name
			continue
		}
		if first != name {
			p.duplicates = append(p.duplicates, finding.Finding{File: p.file, Line: at.Line, Column: at.Column, Field: path, Text: DuplicateField})
			return
		}
	}
}

func keys(node *unstable.Node) []string {
	var names []string
	for it := node.Key(); it.Next(); {
		names = append(names, string(it.Node().Data))
	}
	return names
}

func join(table, name string) string {
	if table == "" {
		return name
	}
	return table + "." + name
}
