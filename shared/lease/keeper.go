// Package lease acquires, renews and guards leases kept in the platform's table.
//
// At most one process believes at any moment that it holds a lease. The holder counts its term from before it sent the
// renewal, by the clock that says less. A challenger waits the whole term and the longest order timeout from when it
// first saw the row unchanged.
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"cowslipshunt.example/wire"
)

// Identity names the process that keeps a lease.
type Identity struct {
	Instance    wire.InstanceName
	Incarnation wire.IncarnationId
}

// Defaults of a keeper.
const (
	DefaultTerm         = 3 * time.Second
	DefaultOrderTimeout = time.Second
)

// renewalsPerTerm is how often a holder renews within one term.
const renewalsPerTerm = 3

// Option changes a keeper.
type Option func(*Keeper)

// WithTerm sets how long one renewal lasts.
func WithTerm(d time.Duration) Option {
	return func(k *Keeper) {
		k.term = d
	}
}

// WithOrderTimeout sets the longest timeout of an order given under the lease.
func WithOrderTimeout(d time.Duration) Option {
	return func(k *Keeper) {
		k.orderTimeout = d
	}
}

// attempt is a renewal whose answer may be lost.
type attempt struct {
	row  wire.LeaseRow
	sent instant
}

// watch is a foreign row and the challenger's monotonic time when it first saw the row so.
type watch struct {
	row   wire.LeaseRow
	since time.Duration
}

// Keeper keeps one lease for one process. Step and Release may be called by one goroutine at a time, all else by any.
type Keeper struct {
	name         wire.LeaseName
	self         Identity
	table        Table
	clock        Clock
	term         time.Duration
	orderTimeout time.Duration

	// These belong to the goroutine that calls Step.
	known   *seen
	watched *watch
	attempt *attempt
	number  int

	mu       sync.Mutex
	held     bool
	released bool
	epoch    wire.Epoch
	revision wire.Revision
	renewed  instant
}

// NewKeeper returns a keeper that does not hold the lease yet.
func NewKeeper(name wire.LeaseName, self Identity, table Table, clock Clock, opts ...Option) *Keeper {
	k := &Keeper{
		name:         name,
		self:         self,
		table:        table,
		clock:        clock,
		term:         DefaultTerm,
		orderTimeout: DefaultOrderTimeout,
	}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// Step renews or tries to acquire the lease if it is time to. An error leaves the belief as it was.
func (k *Keeper) Step(ctx context.Context) error {
	if !k.due() {
		return nil
	}
	if err := k.look(ctx); err != nil {
		return err
	}
	if !k.free() {
		k.known = nil
		return nil
	}
	return k.try(ctx, k.next())
}

// due tells whether a holder should renew or another should look at the row.
func (k *Keeper) due() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.released {
		return false
	}
	if !k.held || k.attempt != nil {
		return true
	}
	return read(k.clock).since(k.renewed) >= k.term/renewalsPerTerm
}

// look reads the row unless it is known from this process's own last write.
func (k *Keeper) look(ctx context.Context) error {
	if k.known != nil {
		return nil
	}
	rows, err := k.table.Read(ctx, TableName, string(k.name))
	if err != nil {
		return err
	}
	s, err := decode(k.name, rows)
	if err != nil {
		return err
	}
	k.observe(s)
	return nil
}

// observe takes in the row as the table showed it before now.
func (k *Keeper) observe(s seen) {
	k.known = &s
	if s.revision == 0 || s.row.Incarnation == k.self.Incarnation {
		k.watched = nil
		k.settle(s)
		return
	}
	k.attempt = nil
	k.lose()
	if k.watched == nil || k.watched.row != s.row {
		k.watched = &watch{row: s.row, since: k.clock.Monotonic()}
	}
}

// settle finds out whether an attempt with a lost answer took effect.
func (k *Keeper) settle(s seen) {
	a := k.attempt
	k.attempt = nil
	if a != nil && s.row == a.row {
		k.gain(*a, s.revision)
	}
}

// free tells whether no other process can believe that it holds the lease.
func (k *Keeper) free() bool {
	if k.watched == nil || k.watched.row.Incarnation == "" {
		return true
	}
	term := time.Duration(k.watched.row.TermMillis) * time.Millisecond
	return k.clock.Monotonic()-k.watched.since > term+k.orderTimeout
}

// next returns the row to write. Each attempt has a renewal number of its own, so that reading back tells which one took
// effect.
func (k *Keeper) next() wire.LeaseRow {
	k.number = max(k.number, k.known.row.Renewal) + 1
	row := wire.LeaseRow{
		Lease:       k.name,
		Holder:      k.self.Instance,
		Incarnation: k.self.Incarnation,
		Epoch:       k.known.row.Epoch,
		Renewal:     k.number,
		TermMillis:  int(k.term.Milliseconds()),
	}
	if !k.Belief().Holds {
		row.Epoch++
	}
	return row
}

func (k *Keeper) try(ctx context.Context, row wire.LeaseRow) error {
	revision := k.known.revision
	k.known = nil
	k.attempt = &attempt{row: row, sent: read(k.clock)}
	answer, err := k.write(ctx, row, revision)
	if err != nil {
		return err
	}
	if answer.Committed {
		k.known = &seen{row: row, revision: answer.Revision}
		k.gain(*k.attempt, answer.Revision)
		k.attempt = nil
		return nil
	}
	s, err := decode(k.name, answer.Conflicts)
	if err != nil {
		return err
	}
	k.observe(s)
	k.known = nil
	return nil
}

func (k *Keeper) write(ctx context.Context, row wire.LeaseRow, revision wire.Revision) (wire.TransactAnswer, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return wire.TransactAnswer{}, err
	}
	return k.table.Transact(ctx, wire.TransactRequest{
		Checks: []wire.Check{k.check(revision)},
		Writes: []wire.Write{{Table: TableName, Key: string(k.name), Value: value}},
	})
}

func (k *Keeper) check(revision wire.Revision) wire.Check {
	return wire.Check{Table: TableName, Key: string(k.name), Revision: revision}
}

// Release gives the lease up, so that another process need not wait for its end. No order may be under way any more.
func (k *Keeper) Release(ctx context.Context) error {
	k.mu.Lock()
	held, epoch, revision := k.held, k.epoch, k.revision
	k.held, k.released = false, true
	k.mu.Unlock()
	if !held {
		return nil
	}
	row := wire.LeaseRow{Lease: k.name, Epoch: epoch, Renewal: k.number + 1}
	answer, err := k.write(ctx, row, revision)
	if err == nil && !answer.Committed {
		return ErrNotHeld
	}
	return err
}
