package main

import (
	"errors"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

// TestRejectedRowsAreCountedAndLoggedWithinBounds guards against another writer that fills the log, by replacing a row as often as it is
// written again or by long values, and against versions of a row that are not counted.
func TestRejectedRowsAreCountedAndLoggedWithinBounds(t *testing.T) {
	const table, versions = "t-bounds", 3 * maxRejectedRows
	output := &logBuffer{}
	r := newRejectedRows(newLogger(output, "info", "i"), table, "EndpointRejected")
	cause := errors.New(strings.Repeat("x", 1<<16))
	for version := range versions {
		r.add("i-1", version, cause)
		r.add("i-1", version, cause)
		r.remove("i-1")
	}
	for version := range versions {
		r.add("i-2", version, cause)
	}
	if n := metrics.GetOrCreateCounter(`router_rows_rejected_total{table="` + table + `"}`).Get(); n != 2*versions {
		t.Errorf("%d versions are counted, want %d", n, 2*versions)
	}
	waitFor(t, "the last line", func() bool { return strings.Contains(output.String(), `"MoreAreLogged":false`) })
	if n := countLines(output, "EndpointRejected"); n != maxRejectedRows {
		t.Errorf("%d lines were logged, want %d", n, maxRejectedRows)
	}
	if n := len(output.String()); n > 1000*maxRejectedRows {
		t.Errorf("%d bytes were logged", n)
	}
}
