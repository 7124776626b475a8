package main

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// maxRejectedRows bounds the rejected rows of a table that are logged and remembered.
const maxRejectedRows = 256

// rejectedRows are the rows of a table that cannot be used, as another writer has left them. Each is logged once and not at each read,
// until its fault changes or it is usable or gone.
type rejectedRows struct {
	logger *log.Logger
	table  string
	// message is that of the log line.
	message string
	// causes are the faults of the rows that were logged, by key.
	causes map[string]string
}

func newRejectedRows(logger *log.Logger, table, message string) *rejectedRows {
	return &rejectedRows{logger: logger, table: table, message: message, causes: map[string]string{}}
}

// add records that a row cannot be used.
func (r *rejectedRows) add(key string, version int, err error) {
	cause, known := r.causes[key]
	if known && cause == err.Error() {
		return
	}
	metrics.GetOrCreateCounter(`router_rows_rejected_total{table="` + r.table + `"}`).Inc()
	if !known && len(r.causes) >= maxRejectedRows {
		return
	}
	r.causes[key] = err.Error()
	r.logger.Warn().Str("Table", r.table).Str("Key", key).Int("RowVersion", version).Err(err).
		Bool("MoreAreLogged", len(r.causes) < maxRejectedRows).Msg(r.message)
}

// remove records that a row is usable or gone.
func (r *rejectedRows) remove(key string) {
	delete(r.causes, key)
}

// retain forgets the rows that are not listed.
func (r *rejectedRows) retain(listed map[string]bool) {
	for key := range r.causes {
		if !listed[key] {
			delete(r.causes, key)
		}
	}
}
