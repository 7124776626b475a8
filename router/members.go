package main

import (
	"cmp"
	"context"
	"time"

	"cowslipshunt.example/serving/membership"
	"github.com/phuslu/log"
)

// leaveTimeout bounds the removal of the instance's row when the instance stops.
const leaveTimeout = 500 * time.Millisecond

// maintainMembership refreshes the instance's row and the list of its peers until ctx ends, and then removes the row.
func maintainMembership(ctx context.Context, registration *membership.Registration, peers *peers, logger *log.Logger) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	m := &members{registration: registration, peers: peers, logger: logger}
	for {
		select {
		case <-ctx.Done():
			leaveCtx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
			defer cancel()
			if err := registration.Leave(leaveCtx); err != nil {
				logger.Warn().Err(err).Msg("MemberRowLeft")
			}
			return
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
	m.peers.setMembers(list)
	if alive := len(list) + 1; alive != m.alive {
		m.logger.Info().Int("Alive", alive).Int("Before", m.alive).Msg("Members")
		m.alive = alive
	}
	return err
}
