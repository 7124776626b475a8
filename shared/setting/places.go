// Package setting decodes and checks TOML files and reports each finding with its position.
package setting

import (
	"errors"
	"fmt"
	"strings"

	"cowslipshunt.example/shared/finding"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// UnknownFieldText is the text of a finding about a field that the struct lacks. Such a finding means that the rest of the file
// was decoded.
const UnknownFieldText = "unknown field"

// DuplicateFieldText is the text of a finding about a field that was given in its table before in another letter case. As the case
// of names does not matter, the later one would silently override the first. Such a finding too means that the rest of the file
// was decoded.
const DuplicateFieldText = "was given before in another letter case"

// Places maps the fields of a TOML file to their positions.
type Places struct {
	file string
	// positions is keyed by the path of a field in lower case.
	positions map[string]unstable.Position
	// spellings maps the path of each field and table in lower case to its first spelling.
	spellings  map[string]string
	duplicates finding.List
}

// Finding returns a finding about a field such as "Workspace[1].Key[0].Digest". If the file lacks the field, the position is that
// of the innermost enclosing table in the file.
func (p *Places) Finding(field, format string, args ...any) finding.Finding {
	f := finding.Finding{File: p.file, Field: field, Text: fmt.Sprintf(format, args...)}
	for path := field; path != ""; path = parentPath(path) {
		if pos, ok := p.positions[strings.ToLower(path)]; ok {
			f.Line, f.Column = pos.Line, pos.Column
			break
		}
	}
	return f
}

// parentPath returns a path without its last field name or index.
func parentPath(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

// Decode decodes TOML text into a struct. It reports unknown and duplicate fields, wrong types and syntax errors as findings.
func Decode(file string, data []byte, into any) (*Places, finding.List) {
	places := &Places{file: file, positions: map[string]unstable.Position{}, spellings: map[string]string{}}
	places.scan(data)
	decoder := toml.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	return places, append(places.findings(decoder.Decode(into)), places.duplicates...)
}

func (p *Places) findings(err error) finding.List {
	var unknown *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		var list finding.List
		for _, e := range unknown.Errors {
			list = append(list, p.findingFor(&e, UnknownFieldText))
		}
		return list
	case errors.As(err, &decode):
		return finding.List{p.findingFor(decode, strings.TrimPrefix(decode.Error(), "toml: "))}
	}
	return finding.List{{File: p.file, Text: err.Error()}}
}

// findingFor returns a finding at the position of a decoder's error.
func (p *Places) findingFor(e *toml.DecodeError, text string) finding.Finding {
	row, column := e.Position()
	return finding.Finding{File: p.file, Line: row, Column: column, Field: strings.Join(e.Key(), "."), Text: text}
}

// scan records the position of each key and table. It stops at a syntax error, which the decoder reports.
func (p *Places) scan(data []byte) {
	parser := unstable.Parser{}
	parser.Reset(data)
	count := map[string]int{} // elements so far of each array of tables
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.Table:
			table = p.resolve(keyParts(node), count)
			p.record(&parser, node, table)
		case unstable.ArrayTable:
			table = p.resolve(keyParts(node), count)
			n := count[table]
			count[table]++
			table = fmt.Sprintf("%s[%d]", table, n)
			p.record(&parser, node, table)
		case unstable.KeyValue:
			p.recordValue(&parser, node, table)
		}
	}
}

// recordValue records the position of a key and of the keys in the inline tables of its value.
func (p *Places) recordValue(parser *unstable.Parser, node *unstable.Node, table string) {
	path := joinPath(table, strings.Join(keyParts(node), "."))
	p.record(parser, node, path)
	p.recordNested(parser, node.Value(), path)
}

// recordNested records the keys in the inline tables of a value; path is the value's path.
func (p *Places) recordNested(parser *unstable.Parser, value *unstable.Node, path string) {
	n := 0
	for it := value.Children(); it.Next(); {
		child := it.Node()
		switch {
		case value.Kind == unstable.InlineTable:
			p.recordValue(parser, child, path)
		case value.Kind == unstable.Array:
			p.recordNested(parser, child, fmt.Sprintf("%s[%d]", path, n))
			n++
		}
	}
}

// resolve returns the path for the keys of a table header. A key of an array of tables, other than the last key, refers to the
// array's latest element.
func (p *Places) resolve(names []string, count map[string]int) string {
	path := ""
	for i, name := range names {
		path = joinPath(path, name)
		if n := count[path]; n > 0 && i < len(names)-1 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

// record records the position of a node's key as that of path.
func (p *Places) record(parser *unstable.Parser, node *unstable.Node, path string) {
	it := node.Key()
	if !it.Next() {
		return
	}
	pos := parser.Shape(it.Node().Raw).Start
	p.positions[strings.ToLower(path)] = pos
	p.checkSpelling(path, pos)
}

// checkSpelling reports a path if the field, or a table that encloses it, was given before in another letter case.
func (p *Places) checkSpelling(path string, pos unstable.Position) {
	for name := path; name != ""; name = parentPath(name) {
		lower := strings.ToLower(name)
		first, seen := p.spellings[lower]
		if !seen {
			p.spellings[lower] = name
			continue
		}
		if first != name {
			p.duplicates = append(p.duplicates, finding.Finding{
				File: p.file, Line: pos.Line, Column: pos.Column, Field: path, Text: DuplicateFieldText,
			})
			return
		}
	}
}

func keyParts(node *unstable.Node) []string {
	var names []string
	for it := node.Key(); it.Next(); {
		names = append(names, string(it.Node().Data))
	}
	return names
}

func joinPath(table, name string) string {
	if table == "" {
		return name
	}
	return table + "." + name
}
