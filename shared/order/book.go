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

// Minimum intervals between the last settled order of a target and a new one.
const (
	// intervalAfterChange applies to a number of endpoints that differs from the last one.
	intervalAfterChange = time.Second
	// intervalAfterSame applies to the same number of endpoints again, and to any order after one that was not done.
	intervalAfterSame = 10 * time.Second
)

// scanLimit is the maximum number of rows that one scan requests.
const scanLimit = 500

// AuditTable is the name of the table that holds the audit trail.
const AuditTable = "audit"

// Table is the part of the platform's table service that a Book reads from.
type Table interface {
	Read(ctx context.Context, table string, keys ...string) ([]wire.Row, error)
	Scan(ctx context.Context, table, prefix, after string, limit int) ([]wire.Row, error)
}

// Fence is the lease under which orders are written and sent.
type Fence interface {
	// Transact commits the request only if the table names this process as the holder of the lease.
	Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error)
	// Guard returns the lease's epoch and reports whether the lease is held for at least margin from now.
	Guard(margin time.Duration) (wire.Epoch, bool)
}

// Book manages the orders of one failure domain for the holder of the domain's lease. It is not safe for concurrent use.
type Book struct {
	domain      wire.DomainName
	instance    wire.InstanceName
	incarnation wire.IncarnationId
	table       Table
	fence       Fence
	clock       clockwork.Clock
	timeout     time.Duration

	// epoch is the lease's epoch for which the orders were loaded.
	epoch wire.Epoch
	// lastNumber is the number of the last order begun in this epoch.
	lastNumber int
	pending    []*pendingOrder
	settled    map[Target]settledOrder
}

// settledOrder is the last settled order of a target.
type settledOrder struct {
	row wire.OrderRow
	// at is when this process settled the order, or when the order was begun if its row was loaded from the table.
	at time.Time
}

// Option configures a Book.
type Option func(*Book)

// WithTimeout sets the timeout of each order sent. The default is 1 second.
func WithTimeout(d time.Duration) Option {
	return func(b *Book) {
		b.timeout = d
	}
}

// NewBook returns a Book without orders.
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
		settled:     map[Target]settledOrder{},
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Load reads all orders of the domain from the table, including those of earlier holders, once for each epoch. It must
// succeed before any order is begun or sent. It does nothing while the lease is not held.
func (b *Book) Load(ctx context.Context) error {
	epoch, ok := b.fence.Guard(0)
	if !ok || epoch == b.epoch {
		return nil
	}
	rows, err := b.scanRows(ctx)
	if err != nil {
		return err
	}
	b.pending, b.settled = nil, map[Target]settledOrder{}
	for _, r := range rows {
		if err := b.addRow(r); err != nil {
			return err
		}
	}
	b.epoch, b.lastNumber = epoch, 0
	return nil
}

func (b *Book) scanRows(ctx context.Context) ([]wire.Row, error) {
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

// addRow adds an order read from the table.
func (b *Book) addRow(r wire.Row) error {
	o := pendingOrder{written: true, revision: r.Revision}
	if err := json.Unmarshal(r.Value, &o.row); err != nil {
		return fmt.Errorf("decode order %s: %w", r.Key, err)
	}
	if o.row.State == wire.OrderStatePending {
		b.pending = append(b.pending, &o)
		return nil
	}
	b.settled[TargetOf(o.row)] = settledOrder{row: o.row, at: o.row.At}
	return nil
}

// Loaded reports whether the lease is held and the orders are loaded for its current epoch.
func (b *Book) Loaded() bool {
	epoch, ok := b.fence.Guard(0)
	return ok && epoch == b.epoch
}

// Pending returns the pending orders.
func (b *Book) Pending() []wire.OrderRow {
	rows := make([]wire.OrderRow, 0, len(b.pending))
	for _, o := range b.pending {
		rows = append(rows, o.row)
	}
	return rows
}

// PendingWritten returns the pending orders that are known to be in the table, so that the next holder of the lease will load them.
func (b *Book) PendingWritten() []wire.OrderRow {
	var rows []wire.OrderRow
	for _, o := range b.pending {
		if o.written {
			rows = append(rows, o.row)
		}
	}
	return rows
}

// LastSettled returns the last settled order of each endpoint that has no pending order.
func (b *Book) LastSettled() []wire.OrderRow {
	var rows []wire.OrderRow
	for target, s := range b.settled {
		hasPending := slices.ContainsFunc(b.pending, func(o *pendingOrder) bool { return TargetOf(o.row) == target })
		if s.row.Endpoint != "" && !hasPending {
			rows = append(rows, s.row)
		}
	}
	return rows
}

// TooSoon reports whether a new order would come too soon after the last settled one for its target. The interval is longer
// after an order that was not done, and for the same number of endpoints again, which the platform may still be starting.
// After an order to an engine that was done, there is none.
func (b *Book) TooSoon(row wire.OrderRow) bool {
	last, ok := b.settled[TargetOf(row)]
	if !ok {
		return false
	}
	interval := intervalAfterChange
	if last.row.State != wire.OrderStateDone || row.Endpoint == "" && row.Count == last.row.Count {
		interval = intervalAfterSame
	} else if row.Endpoint != "" {
		interval = 0
	}
	return b.clock.Since(last.at) < interval
}

// Begin writes a new order to the table before anything is sent; Step sends it. Begin sets the order's id, domain, holder,
// incarnation, epoch, state and time. The error is an PendingError if the target has a pending order, or ErrNotLoaded.
// After any other error the order is pending, and Step writes it again.
func (b *Book) Begin(ctx context.Context, row wire.OrderRow, version wire.DocumentVersion) (wire.OrderRow, error) {
	epoch, ok := b.fence.Guard(0)
	if !ok || epoch != b.epoch {
		return wire.OrderRow{}, ErrNotLoaded
	}
	target := TargetOf(row)
	if i := slices.IndexFunc(b.pending, func(o *pendingOrder) bool { return TargetOf(o.row) == target }); i >= 0 {
		return wire.OrderRow{}, &PendingError{Target: target, Order: b.pending[i].row.Order}
	}
	b.lastNumber++
	row.Order = wire.OrderId(fmt.Sprintf("%s-%08d-%04d", b.domain, epoch, b.lastNumber))
	row.Domain, row.Epoch, row.Holder, row.Incarnation = b.domain, epoch, b.instance, b.incarnation
	row.State, row.At = wire.OrderStatePending, b.clock.Now().UTC()
	o := &pendingOrder{row: row, audit: b.newAuditRow(row, version)}
	b.pending = append(b.pending, o)
	return row, b.insert(ctx, o)
}

// ErrNotLoaded is returned if the lease is not held, ends before the order's timeout would, or has an epoch for which the
// orders are not loaded.
var ErrNotLoaded = errors.New("the lease is not held long enough, or the orders of its epoch are not loaded")

// insert adds an order's row and its audit entry to the tables. If the row exists, an earlier attempt whose answer was lost
// inserted it, because no other process uses the same order id.
func (b *Book) insert(ctx context.Context, o *pendingOrder) error {
	value, err := json.Marshal(o.row)
	if err != nil {
		return err
	}
	audit, err := auditWrite(o.audit, string(o.row.Order))
	if err != nil {
		return err
	}
	key := b.key(o.row.Order)
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

// revisionOf returns the revision of the order row with the given key, or zero if rows lacks it.
func revisionOf(rows []wire.Row, key string) wire.Revision {
	for _, r := range rows {
		if r.Table == TableName && r.Key == key {
			return r.Revision
		}
	}
	return 0
}

// settle writes an order's final state and an audit entry. If the row's revision has changed, an earlier attempt whose answer
// was lost settled the order, so an uncommitted answer counts as success.
func (b *Book) settle(ctx context.Context, o *pendingOrder, state wire.OrderState, why string) error {
	row := o.row
	row.State, row.Why = state, strings.Trim(row.Why+"; "+why, "; ")
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	entry := b.newAuditRow(row, o.audit.DocumentVersion)
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
	o.row = row
	b.pending = slices.DeleteFunc(b.pending, func(other *pendingOrder) bool { return other == o })
	b.settled[TargetOf(row)] = settledOrder{row: row, at: b.clock.Now()}
	return nil
}

func (b *Book) key(id wire.OrderId) string {
	return string(b.domain) + "/" + string(id)
}
