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
	lastAlive, nextDelay := 0, membership.SecondRefreshDelay
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
		var members []membership.Peer
		var err error
		panicErr := protect(logger, "members", func() { members, err = registration.Refresh(ctx) })
		if err = cmp.Or(err, panicErr); err != nil {
			logger.Warn().Err(err).Msg("MemberNotRefreshed")
		}
		// If the rows could not be read, members is nil and the last list of peers stays in use.
		if members != nil {
			peers.setMembers(members)
			if alive := len(members) + 1; alive != lastAlive {
				logger.Info().Int("Alive", alive).Int("Before", lastAlive).Msg("Members")
				lastAlive = alive
			}
		}
		timer.Reset(nextDelay)
		nextDelay = membership.RefreshInterval
	}
}
