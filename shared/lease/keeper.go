// Package lease acquires, renews and guards leases kept in the platform's table.
//
// At any moment, at most one process believes that it holds a lease. The holder measures its term from just before it sent
// the renewal, by whichever of its two clocks leaves less of the term. A challenger acquires the lease only after it has
// observed the row unchanged for longer than the term plus the longest order timeout.
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"cowslipshunt.example/shared/era"
	"cowslipshunt.example/wire"
)

// Identity identifies the process that acquires a lease.
type Identity struct {
	Instance    wire.InstanceName
	Incarnation wire.IncarnationId
}

// Defaults of the options.
const (
	DefaultTerm         = 3 * time.Second
	DefaultOrderTimeout = time.Second
)

// renewalsPerTerm is the number of times that a holder renews the lease within one term.
const renewalsPerTerm = 3

// Option configures a Keeper.
type Option func(*Keeper)

// WithTerm sets how long the lease lasts after each renewal.
func WithTerm(d time.Duration) Option {
	return func(k *Keeper) {
		k.term = d
	}
}

// WithOrderTimeout sets the longest timeout of any order that is sent under the lease.
func WithOrderTimeout(d time.Duration) Option {
	return func(k *Keeper) {
		k.orderTimeout = d
	}
}

// WithEra sets a function that returns the era of the table's last answer. Without it, the table is never restored from a backup.
func WithEra(era func() era.Era) Option {
	return func(k *Keeper) {
		k.tableEra = era
	}
}

// attempt is a write that acquires or renews the lease. Its answer may be lost.
type attempt struct {
	row  wire.LeaseRow
	sent clockReading
	// tenure is the tenure that the write starts, or nil.
	tenure *tenureStart
}

// foreignRow is a row that another process wrote, and this process's monotonic time when it first read the row in this state.
type foreignRow struct {
	row       wire.LeaseRow
	firstRead time.Duration
}

// Keeper acquires and renews one lease for one process. Step and Release must be called by one goroutine at a time; the
// other methods are safe for concurrent use.
type Keeper struct {
	name         wire.LeaseName
	self         Identity
	table        Table
	clock        Clock
	term         time.Duration
	orderTimeout time.Duration
	// tableEra returns the era of the table's last answer.
	tableEra func() era.Era

	// The following fields are used only by the goroutine that calls Step.

	// era is the table's era to which the fields below belong, and eraSince this process's monotonic time when it learned of the era.
	era      era.Era
	eraSince time.Duration
	// current is the row that the next write replaces, or nil if it has to be read first.
	current *storedRow
	// foreign is another process's row as last read, or nil if the row was absent or this process's own.
	foreign *foreignRow
	// attempt is the last write if its outcome is unknown.
	attempt *attempt
	renewal int
	// acquired is this process's monotonic time at the first write of its epoch.
	acquired time.Duration
	// recentHolders is what the last row of this process named.
	recentHolders []wire.InstanceName

	mu       sync.Mutex
	held     bool
	released bool
	epoch    wire.Epoch
	revision wire.Revision
	renewed  clockReading
	// heldEra is the era of the row that was written last.
	heldEra era.Era
	tenure  tenureStart
	// unclaimed is the last time at which nobody else had acquired the lease.
	unclaimed clockReading
	// release is when the release that took effect was sent, nil if there was none.
	release *clockReading
}

// NewKeeper returns a Keeper that does not hold the lease yet.
func NewKeeper(name wire.LeaseName, self Identity, table Table, clock Clock, opts ...Option) *Keeper {
	k := &Keeper{
		name:         name,
		self:         self,
		table:        table,
		clock:        clock,
		term:         DefaultTerm,
		orderTimeout: DefaultOrderTimeout,
		tableEra:     func() era.Era { return 0 },
	}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// Step renews the lease or tries to acquire it, if that is due. If the write fails, the keeper's belief is unchanged until a
// later Step finds out whether the write took effect.
func (k *Keeper) Step(ctx context.Context) error {
	k.ObserveEra()
	if !k.due() {
		return nil
	}
	if err := k.readRow(ctx); err != nil {
		return err
	}
	if !k.available() {
		k.current = nil
		return nil
	}
	return k.acquire(ctx, k.nextRow())
}

// due reports whether the holder should renew the lease, or another process should read the row.
func (k *Keeper) due() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.released {
		return false
	}
	if !k.held || k.attempt != nil || k.heldEra != k.era {
		return true
	}
	return readClocks(k.clock).elapsedSince(k.renewed) >= k.term/renewalsPerTerm
}

// readRow reads the row from the table unless it is known from this process's last write.
func (k *Keeper) readRow(ctx context.Context) error {
	if k.current != nil {
		return nil
	}
	sent := readClocks(k.clock)
	rows, err := k.table.Read(ctx, TableName, k.key())
	if err != nil {
		return err
	}
	if k.ObserveEra() {
		// The row of the earlier era may be there, also in a state that this process has written to the table of the new era.
		return ErrRestored
	}
	s, err := findRow(k.name, k.key(), rows)
	if err != nil {
		return err
	}
	k.applyRow(s)
	if s.revision == 0 {
		k.noteUnclaimed(sent)
	}
	return nil
}

// applyRow updates the keeper's state with a row read from the table.
func (k *Keeper) applyRow(s storedRow) {
	k.current = &s
	if s.revision == 0 || s.row.Incarnation == k.self.Incarnation {
		k.foreign = nil
		k.resolveAttempt(s)
		return
	}
	k.attempt = nil
	k.markNotHeld()
	if k.foreign == nil || !sameState(k.foreign.row, s.row) {
		k.foreign = &foreignRow{row: s.row, firstRead: k.clock.Monotonic()}
	}
}

// resolveAttempt determines from the row whether an attempt whose answer was lost took effect.
func (k *Keeper) resolveAttempt(s storedRow) {
	a := k.attempt
	k.attempt = nil
	if a != nil && sameState(s.row, a.row) {
		k.markHeld(*a, s.revision)
	}
}

// nextRow returns the row to write. Each attempt has its own renewal number, so that a later read of the row shows which
// attempt took effect. The epoch increases unless the lease is held already.
func (k *Keeper) nextRow() wire.LeaseRow {
	k.renewal = max(k.renewal, k.current.row.Renewal) + 1
	row := wire.LeaseRow{
		Lease:       k.name,
		Holder:      k.self.Instance,
		Incarnation: k.self.Incarnation,
		Epoch:       k.current.row.Epoch,
		Renewal:     k.renewal,
		TermMillis:  int(k.term.Milliseconds()),
		Recent:      k.recent(),
	}
	if !k.Belief().Holds || k.heldEra != k.era {
		row.Epoch = max(row.Epoch, wire.Epoch(era.FirstEpoch(k.era))) + 1
		k.acquired = k.clock.Monotonic()
	}
	k.recentHolders = row.Recent
	return row
}

// acquire writes the row to acquire or renew the lease. If the row in the table has changed, it applies that row and leaves
// the next attempt to the next Step.
func (k *Keeper) acquire(ctx context.Context, row wire.LeaseRow) error {
	revision := k.current.revision
	k.current = nil
	k.attempt = &attempt{row: row, sent: readClocks(k.clock)}
	k.attempt.tenure = k.newTenure(*k.attempt, revision)
	answer, err := k.write(ctx, row, revision)
	if k.ObserveEra() {
		// The row may have been written to the table of the new era, in which it is no lease.
		return ErrRestored
	}
	if err != nil {
		return err
	}
	if answer.Committed {
		k.current = &storedRow{row: row, revision: answer.Revision}
		k.markHeld(*k.attempt, answer.Revision)
		k.attempt = nil
		return nil
	}
	s, err := findRow(k.name, k.key(), answer.Conflicts)
	if err != nil {
		return err
	}
	k.applyRow(s)
	k.current = nil
	return nil
}

// write replaces the row if the table still has it at the given revision.
func (k *Keeper) write(ctx context.Context, row wire.LeaseRow, revision wire.Revision) (wire.TransactAnswer, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return wire.TransactAnswer{}, err
	}
	return k.table.Transact(ctx, wire.TransactRequest{
		Checks: []wire.Check{k.revisionCheck(revision)},
		Writes: []wire.Write{{Table: TableName, Key: k.key(), Value: value}},
	})
}

func (k *Keeper) revisionCheck(revision wire.Revision) wire.Check {
	return wire.Check{Table: TableName, Key: k.key(), Revision: revision}
}
