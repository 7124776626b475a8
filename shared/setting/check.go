package setting

import (
	"net/netip"
	"slices"

	"cowslipshunt.example/shared/finding"
)

// Levels are the log levels that settings may name.
var Levels = []string{"debug", "info", "warn", "error"}

// Checks collects findings about one file.
type Checks struct {
	Places *Places
	List   finding.List
}

// Fail adds a finding at a field.
func (c *Checks) Fail(field, format string, args ...any) {
	c.List = append(c.List, c.Places.Finding(field, format, args...))
}

// Required demands that a text is not empty.
func (c *Checks) Required(field, value string) {
	if value == "" {
		c.Fail(field, "is missing")
	}
}

// Address demands an IP number with a port.
func (c *Checks) Address(field, value string) {
	if value == "" {
		c.Fail(field, "is missing")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Fail(field, "%q is no IP number with a port", value)
	}
}

// Secret demands a text of at least min bytes. Its findings never show the text.
func (c *Checks) Secret(field, value string, min int) {
	if len(value) < min {
		c.Fail(field, "is missing or shorter than %d characters", min)
	}
}

// Level demands a known log level; an empty one is allowed.
func (c *Checks) Level(field, value string) {
	if value != "" && !slices.Contains(Levels, value) {
		c.Fail(field, "%q is none of %v", value, Levels)
	}
}
