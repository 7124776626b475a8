package setting

import (
	"net/netip"
	"slices"

	"cowslipshunt.example/shared/finding"
)

// Levels are the valid log levels.
var Levels = []string{"debug", "info", "warn", "error"}

// Checks collects the findings of the checks of one file.
type Checks struct {
	Places *Places
	List   finding.List
}

// AddFinding adds a finding about a field.
func (c *Checks) AddFinding(field, format string, args ...any) {
	c.List = append(c.List, c.Places.Finding(field, format, args...))
}

// Required reports an empty value.
func (c *Checks) Required(field, value string) {
	if value == "" {
		c.AddFinding(field, "is missing")
	}
}

// Address reports a value that is not an IP address with a port.
func (c *Checks) Address(field, value string) {
	if value == "" {
		c.AddFinding(field, "is missing")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.AddFinding(field, "%q is not an IP address with a port", value)
	}
}

// Secret reports a value of less than min bytes. Its findings never contain the value.
func (c *Checks) Secret(field, value string, min int) {
	if len(value) < min {
		c.AddFinding(field, "is missing or shorter than %d characters", min)
	}
}

// Level reports a value that is neither empty nor one of Levels.
func (c *Checks) Level(field, value string) {
	if value != "" && !slices.Contains(Levels, value) {
		c.AddFinding(field, "%q is not one of %v", value, Levels)
	}
}
