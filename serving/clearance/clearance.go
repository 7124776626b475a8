// Package clearance establishes which usage windows nobody reported before the store was restored from a backup.
//
// A report cannot be withdrawn, and the row that says that it was sent may be lost by a restore. The holder of the lease therefore pledges
// to some peers, its witnesses, not to report a window for the first time before they have a copy of it. A pledge ends with the time in which
// nobody else can hold the lease. A witness that learns of a restore before a pledge has ended knows which windows were not reported, and
// tells all others: it clears them. So does a holder that still holds the lease then. Without clearance a window may have been reported.
package clearance

import (
	"time"

	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/shared/era"
	"cowslipshunt.example/shared/lease"
)

// Pledge is a lease holder's message to a witness: nobody has reported window First or a later one, and nobody will report it before Until
// unless the witness has acknowledged a copy of it.
type Pledge struct {
	_ struct{} `cbor:",toarray"`
	// Holder is the address to which the receipt is sent.
	Holder string
	First  metering.Window
	// Until is an agreed time in Unix milliseconds.
	Until int64
}

// Receipt acknowledges a pledge or a copy of a window.
type Receipt struct {
	_ struct{} `cbor:",toarray"`
	// Witness is the address of the sender.
	Witness string
	// Until is that of the pledge, 0 in the receipt of a copy.
	Until int64
	// Window is the window of the copy.
	Window metering.Window
}

// Clearance says that nobody reported window First or a later one before the store was restored to Era.
type Clearance struct {
	_     struct{} `cbor:",toarray"`
	Era   era.Era
	First metering.Window
}

// Peers are the other instances. Messages to them may be lost.
type Peers interface {
	// Witnesses returns the addresses of the peers that get pledges, spread over failure domains.
	Witnesses() []string
	// Pledge sends a pledge to a witness.
	Pledge(witness string, p Pledge)
	// SendCopy sends a copy of a window that the store has in an era, and asks for a receipt.
	SendCopy(witness string, f metering.Frozen, stored era.Era)
	// Announce sends a clearance to all peers.
	Announce(c Clearance)
}

// Clock reads the agreed time.
type Clock interface {
	Now() time.Time
}

// Lease is the lease under which windows are reported.
type Lease interface {
	// Tenure returns the time in which this process has held the lease.
	Tenure() lease.Tenure
	// LeftAtRelease returns how long from now the holder after this process waits before it reports, 0 if this process has not released the
	// lease.
	LeftAtRelease() time.Duration
}
