package order

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// Rests between two orders for one target.
const (
	restAfterChange = time.Second
	restAfterSame   = 10 * time.Second
)

// scanLimit is how many rows one scan asks for.
const scanLimit = 500

// AuditTable is the table of the audit trail.
const AuditTable = "audit"

// Table is the part of the platform's table service that a book reads.
type Table interface {
	Read(ctx context.Context, table string, keys ...string) ([]wire.Row, error)
	Scan(ctx context.Context, table, prefix, after string, limit int) ([]wire.Row, error)
}

// Fence is the lease that orders are given under.
type Fence interface {
	// Transact commits only while the table names this process as the holder.
	Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error)
	// Guard tells whether the lease is held for at least margin more, and with which epoch.
	Guard(margin time.Duration) (wire.Epoch, bool)
}

// Book holds the orders of one failure domain for the holder of its lease. It is for one goroutine.
type Book struct {
	domain      wire.DomainName
	instance    wire.InstanceName
	incarnation wire.IncarnationId
	table       Table
	fence       Fence
	clock       clockwork.Clock
	timeout     time.Duration

	epoch   wire.Epoch
	number  int
	open    []*Open
	settled map[Target]Settled
}

// Settled is the last settled order of a target, and when this process learnt of it.
type Settled struct {
	Row wire.OrderRow
	At  time.Time
}

// Option changes a book.
type Option func(*Book)

// WithTimeout bounds each order sent. The default is a second.
func WithTimeout(d time.Duration) Option {
	return func(b *Book) {
		b.timeout = d
	}
}

// NewBook returns a book without orders.
func NewBook(domain wire.DomainName, instance wire.InstanceName, incarnation wire.IncarnationId, table Table, fence Fence,
	clock clockwork.Clock, opts ...Option) *Book {
	b := &Book{
		domain:      domain,
		instance:    instance,
		incarnation: incarnation,
		table:       table,
		fence:       fence,
		clock:       clock,
		timeout:     time.Second,
		settled:     map[Target]Settled{},
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Load reads the orders that an earlier holder left, once for each epoch. It must succeed before any order.
func (b *Book) Load(ctx context.Context) error {
	epoch, ok := b.fence.Guard(0)
	if !ok || epoch == b.epoch {
		return nil
	}
	rows, err := b.scan(ctx)
	if err != nil {
		return err
	}
	b.open, b.settled = nil, map[Target]Settled{}
	for _, r := range rows {
		if err := b.take(r); err != nil {
			return err
		}
	}
	b.epoch, b.number = epoch, 0
	return nil
}

func (b *Book) scan(ctx context.Context) ([]wire.Row, error) {
	var all []wire.Row
	after := ""
	for {
		rows, err := b.table.Scan(ctx, TableName, b.key(""), after, scanLimit)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < scanLimit {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (b *Book) take(r wire.Row) error {
	o := Open{written: true, revision: r.Revision}
	if err := json.Unmarshal(r.Value, &o.Row); err != nil {
		return fmt.Errorf("decode order %s: %w", r.Key, err)
	}
	if o.Row.State == wire.OrderStatePending {
		b.open = append(b.open, &o)
		return nil
	}
	b.settled[TargetOf(o.Row)] = Settled{Row: o.Row, At: o.Row.At}
	return nil
}

// Loaded tells whether the orders of the present epoch are known.
func (b *Book) Loaded() bool {
	epoch, ok := b.fence.Guard(0)
	return ok && epoch == b.epoch
}

// Open returns the orders under way.
func (b *Book) Open() []wire.OrderRow {
	rows := make([]wire.OrderRow, 0, len(b.open))
	for _, o := range b.open {
		rows = append(rows, o.Row)
	}
	return rows
}

// Written returns the orders under way that are known to be in the table, so that the next holder will see them too.
func (b *Book) Written() []wire.OrderRow {
	var rows []wire.OrderRow
	for _, o := range b.open {
		if o.written {
			rows = append(rows, o.Row)
		}
	}
	return rows
}

// Ended returns the last settled order of each endpoint that has none under way.
func (b *Book) Ended() []wire.OrderRow {
	var rows []wire.OrderRow
	for target, s := range b.settled {
		busy := slices.ContainsFunc(b.open, func(o *Open) bool { return TargetOf(o.Row) == target })
		if s.Row.Endpoint != "" && !busy {
			rows = append(rows, s.Row)
		}
	}
	return rows
}

// Resting tells whether a new order comes too soon after the last one for its target: one that failed, or one for the
// same number of endpoints, which the platform may still be bringing up.
func (b *Book) Resting(row wire.OrderRow) bool {
	last, ok := b.settled[TargetOf(row)]
	if !ok {
		return false
	}
	rest := restAfterChange
	if last.Row.State != wire.OrderStateDone || row.Endpoint == "" && row.Count == last.Row.Count {
		rest = restAfterSame
	} else if row.Endpoint != "" {
		rest = 0
	}
	return b.clock.Since(last.At) < rest
}

// Begin writes a new order ahead. Its id, holder, epoch, state and time are filled in. The error is an OutstandingError
// if the target has an order under way. After any other error the order may be under way; Step finds out.
func (b *Book) Begin(ctx context.Context, row wire.OrderRow, version wire.DocumentVersion) (wire.OrderRow, error) {
	epoch, ok := b.fence.Guard(0)
	if !ok || epoch != b.epoch {
		return wire.OrderRow{}, ErrNotLoaded
	}
	target := TargetOf(row)
	if i := slices.IndexFunc(b.open, func(o *Open) bool { return TargetOf(o.Row) == target }); i >= 0 {
		return wire.OrderRow{}, &OutstandingError{Target: target, Order: b.open[i].Row.Order}
	}
	b.number++
	row.Order = wire.OrderId(fmt.Sprintf("%s-%08d-%04d", b.domain, epoch, b.number))
	row.Domain, row.Epoch, row.Holder, row.Incarnation = b.domain, epoch, b.instance, b.incarnation
	row.State, row.At = wire.OrderStatePending, b.clock.Now().UTC()
	o := &Open{Row: row, audit: b.auditOf(row, version)}
	b.open = append(b.open, o)
	return row, b.write(ctx, o)
}

// ErrNotLoaded is returned for a book that does not know the orders of the present epoch.
var ErrNotLoaded = errors.New("the orders of this epoch are not loaded")

// write inserts an order's row and its audit entry. A row that is there already came from an attempt whose answer was
// lost, as no other process uses its id.
func (b *Book) write(ctx context.Context, o *Open) error {
	value, err := json.Marshal(o.Row)
	if err != nil {
		return err
	}
	audit, err := auditWrite(o.audit, string(o.Row.Order))
	if err != nil {
		return err
	}
	key := b.key(o.Row.Order)
	answer, err := b.fence.Transact(ctx, wire.TransactRequest{
		Checks: []wire.Check{{Table: TableName, Key: key}},
		Writes: []wire.Write{{Table: TableName, Key: key, Value: value}, audit},
	})
	if err != nil {
		return err
	}
	o.written, o.revision = true, answer.Revision
	if !answer.Committed {
		o.revision = revisionOf(answer.Conflicts, key)
	}
	return nil
}

func revisionOf(rows []wire.Row, key string) wire.Revision {
	for _, r := range rows {
		if r.Table == TableName && r.Key == key {
			return r.Revision
		}
	}
	return 0
}

// settle writes an order's end. A row that has changed was settled by an attempt whose answer was lost.
func (b *Book) settle(ctx context.Context, o *Open, state wire.OrderState, why string) error {
	row := o.Row
	row.State, row.Why = state, strings.Trim(row.Why+"; "+why, "; ")
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	entry := b.auditOf(row, o.audit.DocumentVersion)
	audit, err := auditWrite(entry, string(row.Order)+"-"+string(state))
	if err != nil {
		return err
	}
	key := b.key(row.Order)
	_, err = b.fence.Transact(ctx, wire.TransactRequest{
		Checks: []wire.Check{{Table: TableName, Key: key, Revision: o.revision}},
		Writes: []wire.Write{{Table: TableName, Key: key, Value: value}, audit},
	})
	if err != nil {
		return err
	}
	o.Row = row
	b.open = slices.DeleteFunc(b.open, func(other *Open) bool { return other == o })
	b.settled[TargetOf(row)] = Settled{Row: row, At: b.clock.Now()}
	return nil
}

func (b *Book) key(id wire.OrderId) string {
	return string(b.domain) + "/" + string(id)
}
