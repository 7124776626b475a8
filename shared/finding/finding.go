// Package finding holds the findings of checking a file, each with its position.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one error in a file. Line and Column count from one; zero means unknown.
type Finding struct {
	File   string
	Line   int
	Column int
	Field  string
	Text   string
}

// String formats a finding as "file:line:column: field: text", without the parts that are unknown.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	if f.Line > 0 && f.Column > 0 {
		fmt.Fprintf(&b, ":%d", f.Column)
	}
	b.WriteString(": ")
	if f.Field != "" {
		b.WriteString(f.Field)
		b.WriteString(": ")
	}
	b.WriteString(f.Text)
	return b.String()
}

// List holds all findings of one file. It is used as an error only if it has entries.
type List []Finding

// Error returns the findings, one per line.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
