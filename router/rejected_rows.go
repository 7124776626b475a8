package main

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

const (
	// maxRejectedRows bounds the rejected rows of a table that are remembered, and the log lines about them in rejectedRowsInterval.
	maxRejectedRows      = 256
	rejectedRowsInterval = time.Minute
	// maxCauseRunes bounds the fault in a log line.
	maxCauseRunes = 300
)

// rejectedRows are the rows of a table that cannot be used, as another writer has left them. Each version of a row is counted once, and
// logged unless an earlier one had the same fault and no usable one came between.
type rejectedRows struct {
	logger *log.Logger
	table  string
	// message is that of the log line.
	message string
	rows    map[string]rejectedRow
	// began is the start of the interval in which lines were logged.
	began time.Time
	lines int
}

// rejectedRow is the last version of a row that was rejected, and its fault.
type rejectedRow struct {
	version int
	cause   string
}

func newRejectedRows(logger *log.Logger, table, message string) *rejectedRows {
	return &rejectedRows{logger: logger, table: table, message: message, rows: map[string]rejectedRow{}}
}

// add records that a row cannot be used.
func (r *rejectedRows) add(key string, version int, err error) {
	last, known := r.rows[key]
	cause := fmt.Sprintf("%.*s", maxCauseRunes, err.Error())
	if known && last.version == version && last.cause == cause {
		return
	}
	metrics.GetOrCreateCounter(`router_rows_rejected_total{table="` + r.table + `"}`).Inc()
	if !known && len(r.rows) >= maxRejectedRows {
		return
	}
	r.rows[key] = rejectedRow{version: version, cause: cause}
	if (known && last.cause == cause) || !r.mayLog(time.Now()) {
		return
	}
	r.logger.Warn().Str("Table", r.table).Str("Key", key).Int("RowVersion", version).Str("error", cause).
		Bool("MoreAreLogged", len(r.rows) < maxRejectedRows && r.lines < maxRejectedRows).Msg(r.message)
}

// mayLog reports whether a line may be logged now, and counts it.
func (r *rejectedRows) mayLog(now time.Time) bool {
	if now.Sub(r.began) >= rejectedRowsInterval {
		r.began, r.lines = now, 0
	}
	r.lines++
	return r.lines <= maxRejectedRows
}

// remove records that a row is usable or gone.
func (r *rejectedRows) remove(key string) {
	delete(r.rows, key)
}

// retain forgets the rows that are not listed.
func (r *rejectedRows) retain(listed map[string]bool) {
	for key := range r.rows {
		if !listed[key] {
			delete(r.rows, key)
		}
	}
}
