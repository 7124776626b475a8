package metering

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

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

func windowKey(w Window) string {
	return fmt.Sprintf("%012d", w)
}

func parseWindow(key string) (Window, error) {
	number, _, _ := strings.Cut(key, "/")
	n, err := strconv.ParseInt(number, 10, 64)
	return Window(n), err
}

// Write puts one incarnation's counts of the windows that have risen into the store. Counts only rise, so a write that is
// repeated or arrives late does no harm while the incarnation has one write under way.
func (c *Counter) Write(ctx context.Context, t Table, incarnation wire.IncarnationId) error {
	dirty := c.Dirty()
	if len(dirty) == 0 {
		return nil
	}
	var r wire.TransactRequest
	for w, counts := range dirty {
		value, err := json.Marshal(counts)
		if err != nil {
			return err
		}
		r.Writes = append(r.Writes, wire.Write{Table: CountTable, Key: windowKey(w) + "/" + string(incarnation), Value: value})
	}
	answer, err := t.Transact(ctx, r)
	if err != nil {
		return err
	}
	if !answer.Committed {
		return fmt.Errorf("the store refused usage counts")
	}
	c.Written(dirty)
	return nil
}
