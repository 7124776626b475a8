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
	// CountTable holds the counts of each window by instance and incarnation.
	CountTable = "usage"
	// WindowTable holds the frozen windows.
	WindowTable = "window"
)

// Table is the part of the store that this package uses.
type Table interface {
	// Range returns the rows of a table whose keys are at least from and, unless to is empty, below to.
	Range(ctx context.Context, table, from, to string) ([]wire.Row, error)
	Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error)
}

// maxCount is the highest number of requests of a workspace in a window that a row may have.
const maxCount = 1 << 31

// countRow is the stored value of one incarnation's counts of a window.
type countRow struct {
	Counts Counts
	// Written is the agreed time of the write.
	Written time.Time
	// Ended is set if the incarnation counts no more requests.
	Ended bool `json:",omitempty"`
}

// windowKey returns the key of a window's row, which is also the prefix of the keys of its counts. It is padded with zeros so that
// keys sort by window.
func windowKey(w Window) string {
	return fmt.Sprintf("%012d", w)
}

// countKey returns the key of one incarnation's counts of a window.
func countKey(w Window, instance wire.InstanceName, incarnation wire.IncarnationId) string {
	return sourceKey(w, string(instance)+"/"+string(incarnation))
}

// sourceKey returns the key of a window's counts from a source, which is an instance and its incarnation.
func sourceKey(w Window, source string) string {
	return windowKey(w) + "/" + source
}

// parseKey returns the window and the source in the key of a row of counts.
func parseKey(key string) (Window, string, error) {
	number, source, _ := strings.Cut(key, "/")
	n, err := strconv.ParseInt(number, 10, 64)
	return Window(n), source, err
}

// isKeyOf reports whether a key is the one under which a window's row, or its counts from a source, are stored.
func isKeyOf(key string, w Window) bool {
	prefix := windowKey(w)
	return w >= 0 && (key == prefix || strings.HasPrefix(key, prefix+"/"))
}

// valid returns an error if a row has counts that no instance writes.
func (c Counts) valid() error {
	for workspace, n := range c {
		if n < 0 || n > maxCount {
			return fmt.Errorf("workspace %.64q has %d requests", workspace, n)
		}
	}
	return nil
}

// sourceInstance returns the instance of a source.
func sourceInstance(source string) wire.InstanceName {
	instance, _, _ := strings.Cut(source, "/")
	return wire.InstanceName(instance)
}

// Write stores one incarnation's counts of the windows that have changed since they were last written. Each write checks the
// revision of the row that it replaces, so that a write whose answer was lost and that takes effect late cannot overwrite newer
// counts.
func (c *Counter) Write(ctx context.Context, t Table, instance wire.InstanceName, incarnation wire.IncarnationId) error {
	dirty := c.Dirty()
	if len(dirty) == 0 {
		return nil
	}
	for range writeAttempts {
		now := c.now().UTC()
		r, err := c.transaction(dirty, instance, incarnation, now)
		if err != nil {
			return err
		}
		answer, err := t.Transact(ctx, r)
		if err != nil {
			return err
		}
		if answer.Committed {
			c.MarkWritten(dirty, answer.Revision)
			c.noteStored(dirty, now)
			return nil
		}
		if err := c.adoptRevisions(answer.Conflicts); err != nil {
			return err
		}
	}
	return fmt.Errorf("write usage counts: the rows still conflict after %d attempts", writeAttempts)
}

// writeAttempts is how often a write is attempted. After a conflict the next attempt uses the revisions that the store returned.
const writeAttempts = 2

func (c *Counter) transaction(dirty map[Window]Counts, instance wire.InstanceName, incarnation wire.IncarnationId, now time.Time) (wire.TransactRequest, error) {
	var r wire.TransactRequest
	for w, counts := range dirty {
		value, err := json.Marshal(countRow{Counts: counts, Written: c.writeTime(w, counts, now), Ended: c.hasFinished()})
		if err != nil {
			return r, err
		}
		key := countKey(w, instance, incarnation)
		r.Checks = append(r.Checks, wire.Check{Table: CountTable, Key: key, Revision: c.revision(w)})
		r.Writes = append(r.Writes, wire.Write{Table: CountTable, Key: key, Value: value})
	}
	return r, nil
}

// adoptRevisions sets the revisions of rows that conflicted: an earlier write of this incarnation took effect although its answer
// was lost, or a peer wrote the counts that were handed off to it.
func (c *Counter) adoptRevisions(rows []wire.Row) error {
	for _, row := range rows {
		w, _, err := parseKey(row.Key)
		if err != nil {
			return fmt.Errorf("decode the key of usage counts %s: %w", row.Key, err)
		}
		c.setRevision(w, row.Revision)
	}
	return nil
}
