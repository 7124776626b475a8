package metering

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"cowslipshunt.example/wire"
)

// Tables of usage.
const (
	// CountTable holds each incarnation's counts of each window.
	CountTable = "usage"
	// WindowTable holds the frozen windows.
	WindowTable = "window"
)

// Table is the part of the store that usage needs.
type Table interface {
	// Range returns the rows of a table whose keys are from from up and below to.
	Range(ctx context.Context, table, from, to string) ([]wire.Row, error)
	Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error)
}

// countRow is what the store holds of one incarnation's counts of a window.
type countRow struct {
	Counts Counts
	// Written is the agreed time of the write.
	Written time.Time
}

func windowKey(w Window) string {
	return fmt.Sprintf("%012d", w)
}

// countKey names the row of one incarnation's counts of a window.
func countKey(w Window, instance wire.InstanceName, incarnation wire.IncarnationId) string {
	return sourceKey(w, string(instance)+"/"+string(incarnation))
}

// sourceKey names the row of a source of a window's counts.
func sourceKey(w Window, source string) string {
	return windowKey(w) + "/" + source
}

// parseKey reads the window and the source of a row of counts.
func parseKey(key string) (Window, string, error) {
	number, source, _ := strings.Cut(key, "/")
	n, err := strconv.ParseInt(number, 10, 64)
	return Window(n), source, err
}

// Write puts one incarnation's counts of the windows that have risen into the store. Each write names the revision of the row
// that it replaces, so that one whose answer was lost and that takes effect late cannot take counts back.
func (c *Counter) Write(ctx context.Context, t Table, instance wire.InstanceName, incarnation wire.IncarnationId) error {
	dirty := c.Dirty()
	if len(dirty) == 0 {
		return nil
	}
	for range writeTries {
		r, err := c.transaction(dirty, instance, incarnation)
		if err != nil {
			return err
		}
		answer, err := t.Transact(ctx, r)
		if err != nil {
			return err
		}
		if answer.Committed {
			c.Written(dirty, answer.Revision)
			return nil
		}
		if err := c.adopt(answer.Conflicts); err != nil {
			return err
		}
	}
	return fmt.Errorf("rows of usage counts keep changing")
}

// writeTries is how often a write is tried again with the rows' revisions after those known turned out to be old.
const writeTries = 2

func (c *Counter) transaction(dirty map[Window]Counts, instance wire.InstanceName, incarnation wire.IncarnationId) (wire.TransactRequest, error) {
	var r wire.TransactRequest
	for w, counts := range dirty {
		value, err := json.Marshal(countRow{Counts: counts, Written: c.now().UTC()})
		if err != nil {
			return r, err
		}
		key := countKey(w, instance, incarnation)
		r.Checks = append(r.Checks, wire.Check{Table: CountTable, Key: key, Revision: c.revision(w)})
		r.Writes = append(r.Writes, wire.Write{Table: CountTable, Key: key, Value: value})
	}
	return r, nil
}

// adopt takes over the revisions of rows that an earlier write of this incarnation has changed, though its answer was lost.
func (c *Counter) adopt(rows []wire.Row) error {
	for _, row := range rows {
		w, _, err := parseKey(row.Key)
		if err != nil {
			return fmt.Errorf("decode the key of counts %s: %w", row.Key, err)
		}
		c.setRevision(w, row.Revision)
	}
	return nil
}
