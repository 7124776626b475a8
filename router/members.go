package main

import (
	"context"
	"time"

	"cowslipshunt.example/serving/membership"
	"github.com/phuslu/log"
)

// Times of the register's first refreshes.
const (
	// firstRefresh is when an instance looks again after its start: the others have written their rows by then.
	firstRefresh = 3 * time.Second
	leaveTimeout = 500 * time.Millisecond
)

// keepMembers refreshes the instance's row and the list of peers until ctx ends.
func keepMembers(ctx context.Context, register *membership.Register, peers *peers, logger *log.Logger) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	known, next := 0, firstRefresh
	for {
		select {
		case <-ctx.Done():
			leaveCtx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
			defer cancel()
			if err := register.Leave(leaveCtx); err != nil {
				logger.Warn().Err(err).Msg("MemberRowLeft")
			}
			return
		case <-timer.C:
		}
		addresses, err := register.Refresh(ctx)
		if err != nil {
			logger.Warn().Err(err).Msg("MemberNotRefreshed")
		}
		// A refresh that read no rows says nothing of the others.
		if addresses != nil {
			peers.setAddresses(addresses)
			if alive := len(addresses) + 1; alive != known {
				logger.Info().Int("Alive", alive).Int("Before", known).Msg("Members")
				known = alive
			}
		}
		timer.Reset(next)
		next = membership.RefreshEvery
	}
}
