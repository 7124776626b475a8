// Package finding collects what is wrong with a file, each finding with its place.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one fault of a file at one place. Line and Column count from one; zero is unknown.
type Finding struct {
	File   string
	Line   int
	Column int
	Field  string
	Text   string
}

// String writes a finding as file:line:column: field: text.
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

// List is every finding of one file. A List with entries is an error.
type List []Finding

// Error writes one finding a line.
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
