package billing

import (
	"context"
	"encoding/json"
	"time"

	"cowslipshunt.example/shared/usage"
	"cowslipshunt.example/wire"
)

// tableName is the table with a row of totals for each incarnation.
const tableName = "usage"

// Table reads and writes rows of the platform's tables.
type Table interface {
	Read(ctx context.Context, table string, keys ...string) ([]wire.Row, error)
	Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error)
}

// rowStore writes totals to the table. Each write merges the stored and the new totals by keeping the larger value of each counter,
// so that repeated writes and lost answers do no harm.
type rowStore struct {
	table Table
}

// write merges totals into their incarnation's row and reports whether the row contains them now. It returns false without an
// error if the row changed between the read and the write.
func (s *rowStore) write(ctx context.Context, instance wire.InstanceName, totals wire.UsageTotals, closed bool) (bool, error) {
	stored, err := s.table.Read(ctx, tableName, string(totals.Incarnation))
	if err != nil {
		return false, err
	}
	row := wire.UsageRow{Instance: instance, Totals: wire.UsageTotals{Incarnation: totals.Incarnation}}
	var revision wire.Revision
	if len(stored) > 0 {
		revision = stored[0].Revision
		if err := json.Unmarshal(stored[0].Value, &row); err != nil {
			return false, err
		}
	}
	merged := usage.Merge(row.Totals, totals)
	if revision > 0 && usage.SameFigures(merged, row.Totals) && (row.Closed || !closed) {
		return true, nil
	}
	row.Totals = merged
	row.Closed = row.Closed || closed
	return s.put(ctx, row, revision)
}

// put writes a row if its revision in the table has not changed, and reports whether it did.
func (s *rowStore) put(ctx context.Context, row wire.UsageRow, revision wire.Revision) (bool, error) {
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

// storeOwn writes this incarnation's totals if they changed, and reports whether the table has them. With closed set, it marks the
// row as closed, also if the totals did not change. It writes no row before the first change.
func (r *Recorder) storeOwn(ctx context.Context, closed bool) bool {
	totals := r.meter.Since(0)
	if totals.Sequence == 0 {
		return true
	}
	r.mu.Lock()
	unchanged := r.storedSequence == totals.Sequence
	r.mu.Unlock()
	if unchanged && !closed {
		return true
	}
	ok, err := r.store.write(ctx, r.self.Instance, totals, closed)
	if err != nil || !ok {
		r.updateUnstored()
		r.logger.Warn().Err(err).Int("Sequence", totals.Sequence).Msg("cannot write this entry's usage totals to the table; retrying")
		return false
	}
	r.mu.Lock()
	r.storedSequence = totals.Sequence
	r.mu.Unlock()
	r.updateUnstored()
	r.markSafe(totals.Sequence)
	r.notifyHolders(wire.UsageStored{Incarnation: totals.Incarnation, Sequence: totals.Sequence})
	return true
}

// updateUnstored updates the gauge of unstored changes.
func (r *Recorder) updateUnstored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	unstored.Set(float64(r.meter.Sequence() - r.storedSequence))
}

// flush writes this incarnation's totals and closes its row, and writes all totals held for unreachable peers. It reports
// whether nothing is left to write: a request that ended in the meantime has changed the totals again.
func (r *Recorder) flush(ctx context.Context) bool {
	own := r.storeOwn(ctx, true)
	orphansStored := r.storeOrphans(ctx, 0)
	r.mu.Lock()
	defer r.mu.Unlock()
	return own && orphansStored && r.storedSequence == r.meter.Sequence()
}

// storeOrphans writes the totals held for peers that have been unreachable for at least minUnreachable. It reports whether no totals
// of unreachable peers are left to write. The totals of a restarted peer's earlier incarnations are written at once.
func (r *Recorder) storeOrphans(ctx context.Context, minUnreachable time.Duration) bool {
	linked := map[wire.InstanceName]wire.IncarnationId{}
	for _, hello := range r.links.Links() {
		linked[hello.Instance] = hello.Incarnation
	}
	left := 0
	for _, name := range r.peerTotals.Instances() {
		if _, present := linked[name]; present {
			delete(r.unreachableSince, name)
		} else if _, noted := r.unreachableSince[name]; !noted {
			r.unreachableSince[name] = r.clock.Now()
		}
		for _, totals := range r.peerTotals.ForInstance(name) {
			if totals.Incarnation == linked[name] {
				continue
			}
			if r.clock.Since(r.unreachableSince[name]) < minUnreachable || !r.storeOrphan(ctx, name, totals) {
				left++
			}
		}
	}
	orphans.Set(float64(left))
	return left == 0
}

// storeOrphan writes the totals of a peer's incarnation to the table and stops holding them.
func (r *Recorder) storeOrphan(ctx context.Context, name wire.InstanceName, totals wire.UsageTotals) bool {
	ctx, cancel := context.WithTimeout(ctx, orphanWriteTimeout)
	defer cancel()
	ok, err := r.store.write(ctx, name, totals, false)
	if err != nil || !ok {
		r.logger.Warn().Err(err).Str("Peer", string(name)).Str("Incarnation", string(totals.Incarnation)).Msg("cannot write an unreachable peer's usage totals to the table; retrying")
		return false
	}
	r.peerTotals.DropStored(totals.Incarnation, totals.Sequence)
	r.logger.Info().Str("Peer", string(name)).Str("Incarnation", string(totals.Incarnation)).Int("Sequence", totals.Sequence).Msg("wrote an unreachable peer's usage totals to the table")
	return true
}

// orphanWriteTimeout bounds the write of one peer incarnation's totals.
const orphanWriteTimeout = 5 * time.Second
