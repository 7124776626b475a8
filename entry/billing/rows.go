package billing

import (
	"context"
	"encoding/json"
	"time"

	"cowslipshunt.example/shared/usage"
	"cowslipshunt.example/wire"
)

// tableName is the table of incarnations' totals.
const tableName = "usage"

// Table is what usage needs of the platform's table service.
type Table interface {
	Read(ctx context.Context, table string, keys ...string) ([]wire.Row, error)
	Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error)
}

// rows writes totals. Each write takes the larger of what is there and what is new, so repeats and lost answers do no
// harm.
type rows struct {
	table Table
}

// write merges totals into an incarnation's row. It tells whether the row holds them now.
func (s *rows) write(ctx context.Context, instance wire.InstanceName, totals wire.UsageTotals, closed bool) (bool, error) {
	there, err := s.table.Read(ctx, tableName, string(totals.Incarnation))
	if err != nil {
		return false, err
	}
	row := wire.UsageRow{Instance: instance, Totals: wire.UsageTotals{Incarnation: totals.Incarnation}}
	var revision wire.Revision
	if len(there) > 0 {
		revision = there[0].Revision
		if err := json.Unmarshal(there[0].Value, &row); err != nil {
			return false, err
		}
	}
	merged := usage.Merge(row.Totals, totals)
	if revision > 0 && usage.Same(merged, row.Totals) && (row.Closed || !closed) {
		return true, nil
	}
	row.Totals = merged
	row.Closed = row.Closed || closed
	return s.put(ctx, row, revision)
}

func (s *rows) put(ctx context.Context, row wire.UsageRow, revision wire.Revision) (bool, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return false, err
	}
	key := string(row.Totals.Incarnation)
	answer, err := s.table.Transact(ctx, wire.TransactRequest{
		Checks: []wire.Check{{Table: tableName, Key: key, Revision: revision}},
		Writes: []wire.Write{{Table: tableName, Key: key, Value: value}},
	})
	return err == nil && answer.Committed, err
}

// storeOwn writes this incarnation's totals if they changed, and tells whether the table has them.
func (r *Recorder) storeOwn(ctx context.Context, closed bool) bool {
	totals := r.meter.Since(0)
	if totals.Sequence == 0 {
		return true
	}
	r.mu.Lock()
	unchanged := r.stored == totals.Sequence
	r.mu.Unlock()
	if unchanged && !closed {
		return true
	}
	ok, err := r.store.write(ctx, r.self.Instance, totals, closed)
	if err != nil || !ok {
		r.noteUnstored()
		r.logger.Warn().Err(err).Int("Sequence", totals.Sequence).Msg("usage is not in the table yet")
		return false
	}
	r.mu.Lock()
	r.stored = totals.Sequence
	r.mu.Unlock()
	r.noteUnstored()
	r.secured(totals.Sequence)
	r.tellHolders(wire.UsageStored{Incarnation: totals.Incarnation, Sequence: totals.Sequence})
	return true
}

func (r *Recorder) noteUnstored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	unstored.Set(float64(r.meter.Sequence() - r.stored))
}

// flush writes this incarnation's totals for the last time and all that is held for peers out of reach. It tells whether
// nothing is left: a request that ended meanwhile raised the totals again.
func (r *Recorder) flush(ctx context.Context) bool {
	own := r.storeOwn(ctx, true)
	rescued := r.rescue(ctx, 0)
	r.mu.Lock()
	defer r.mu.Unlock()
	return own && rescued && r.stored == r.meter.Sequence()
}

// rescue writes the totals of peers that have been out of reach for that long, and tells whether none are left.
func (r *Recorder) rescue(ctx context.Context, absence time.Duration) bool {
	linked := map[wire.InstanceName]wire.IncarnationId{}
	for _, hello := range r.links.Links() {
		linked[hello.Instance] = hello.Incarnation
	}
	left := 0
	for _, name := range r.held.Instances() {
		if _, present := linked[name]; present {
			delete(r.absent, name)
		} else if _, noted := r.absent[name]; !noted {
			r.absent[name] = r.clock.Now()
		}
		for _, totals := range r.held.Of(name) {
			if totals.Incarnation == linked[name] {
				continue
			}
			if r.clock.Since(r.absent[name]) < absence || !r.rescueOne(ctx, name, totals) {
				left++
			}
		}
	}
	orphans.Set(float64(left))
	return left == 0
}

func (r *Recorder) rescueOne(ctx context.Context, name wire.InstanceName, totals wire.UsageTotals) bool {
	ctx, cancel := context.WithTimeout(ctx, rescueWithin)
	defer cancel()
	ok, err := r.store.write(ctx, name, totals, false)
	if err != nil || !ok {
		r.logger.Warn().Err(err).Str("Peer", string(name)).Str("Incarnation", string(totals.Incarnation)).Msg("a peer's usage is not in the table yet")
		return false
	}
	r.held.Stored(totals.Incarnation, totals.Sequence)
	r.logger.Info().Str("Peer", string(name)).Str("Incarnation", string(totals.Incarnation)).Int("Sequence", totals.Sequence).Msg("wrote a peer's usage")
	return true
}

// rescueWithin bounds one write for a peer.
const rescueWithin = 5 * time.Second
