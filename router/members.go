package main

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"cowslipshunt.example/serving/membership"
	"github.com/phuslu/log"
)

// leaveTimeout bounds the removal of the instance's row when the instance stops.
const leaveTimeout = 500 * time.Millisecond

// maintainMembership refreshes the instance's row and the list of its peers until ctx ends, and then removes the row. It also does so when
// told by renew, as the store may have lost the row.
func maintainMembership(ctx context.Context, registration *membership.Registration, peers *peers, renew <-chan struct{}, logger *log.Logger) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	m := &members{registration: registration, peers: peers, logger: logger, rejected: newRejectedRows(logger, membership.TableName, "MemberRejected")}
	for {
		select {
		case <-ctx.Done():
			leaveCtx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
			defer cancel()
			if err := registration.Leave(leaveCtx); err != nil {
				logger.Warn().Err(err).Msg("MemberRowLeft")
			}
			return
		case <-renew:
		case <-timer.C:
		}
		var err error
		panicErr := protect(logger, "members", func() { err = m.refresh(ctx) })
		if err = cmp.Or(err, panicErr); err != nil {
			logger.Warn().Err(err).Msg("MemberNotRefreshed")
		}
		timer.Reset(m.nextDelay())
	}
}

// members refreshes the instance's row and the list of its peers.
type members struct {
	registration *membership.Registration
	peers        *peers
	logger       *log.Logger
	// rejected are the members, by address, to which nothing can be sent.
	rejected *rejectedRows
	// refreshes counts the refreshes.
	refreshes int
	// alive is the number of instances that were listed last.
	alive int
}

// nextDelay returns the time until the next refresh.
func (m *members) nextDelay() time.Duration {
	if m.refreshes == 1 {
		return membership.SecondRefreshDelay
	}
	return membership.RefreshInterval
}

// refresh writes the instance's row. It also reads those of the others, unless the instance hears of exactly the peers that it knows. The
// first two refreshes always read them: instances that start at the same time may not see each other at first.
func (m *members) refresh(ctx context.Context) error {
	m.refreshes++
	if m.refreshes > 2 && m.peers.hearsAllMembers() {
		return m.registration.Renew(ctx)
	}
	list, err := m.registration.Refresh(ctx)
	// If the rows could not be read, the list is nil and the last one stays in use.
	if list == nil {
		return err
	}
	list = slices.DeleteFunc(list, func(p membership.Peer) bool { return !m.hasAddress(p) })
	m.peers.setMembers(list)
	if alive := len(list) + 1; alive != m.alive {
		m.logger.Info().Int("Alive", alive).Int("Before", m.alive).Msg("Members")
		m.alive = alive
	}
	return err
}

// hasAddress reports whether datagrams can be sent to a peer. A row that another writer has left may list one without an address.
func (m *members) hasAddress(p membership.Peer) bool {
	addr, err := netip.ParseAddrPort(p.Address)
	if err == nil && addr.Port() > 0 && !addr.Addr().IsUnspecified() && !addr.Addr().IsMulticast() {
		return true
	}
	m.rejected.add(p.Address, 0, cmp.Or(err, errNoAddress))
	return false
}

// errNoAddress is the fault of a member's address that parses and is not one host's.
var errNoAddress = errors.New("is not the address of one instance")
