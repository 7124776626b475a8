package main

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/platform/wire"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"github.com/jonboulle/clockwork"
)

const (
	// largeConfigurationRoutes is how many routes are added at once in a deployment of 90 machines.
	largeConfigurationRoutes = 1400
	// maxApplyTimeOfLarge is the bound of such a deployment on the time until a configuration is in force.
	maxApplyTimeOfLarge = 3 * time.Second
)

// slowConfiguration is a follower of the configuration whose store is behind a slow link.
type slowConfiguration struct {
	t        *testing.T
	store    *platformtest.Store
	relay    *relay.Relay
	follower *follower
	// received counts the bytes of the store's answers that have passed the link.
	received atomic.Int64
}

// newSlowConfiguration starts a follower that has applied version 1.
func newSlowConfiguration(t *testing.T) *slowConfiguration {
	t.Helper()
	logger := newLogger(io.Discard, "error", "i")
	x := &slowConfiguration{t: t, store: platformtest.NewStore(t)}
	x.relay = relay.New(roster.NewDirectory(), nil, nil, decisionLog{logger: logger}, clockwork.NewRealClock(), "a", relay.BudgetBounds{})
	client := platform.NewStore(countedSlowLink(t, x.store.Address, &x.received), nil)
	x.follower = newConfigurationFollower(client, x.relay, func() int { return 80 }, noReplicas(), logger)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	x.put(1, 0)
	go x.follower.run(ctx)
	waitFor(t, "version 1", x.inForce(1))
	return x
}

// put writes a version of the configuration with a number of routes beside those that all have.
func (x *slowConfiguration) put(version, routes int) {
	x.store.Put(platform.OperatorTable, platform.ConfigurationKey, platformtest.OpenConfiguration(x.t, version, func(c *wire.Configuration) {
		for i := range routes {
			r := c.Routes[0]
			r.Name, r.PathPrefix = fmt.Sprintf("added-%d", i), fmt.Sprintf("/added-%d/", i)
			c.Routes = append(c.Routes, r)
		}
	}))
}

func (x *slowConfiguration) inForce(version int) func() bool {
	return func() bool { t := x.relay.Table(); return t != nil && int(t.Version) == version }
}

// TestLargeConfigurationIsInForceInTimeOverSlowLink guards against a configuration that never gets in force as it takes longer to transfer
// than the store may take to answer.
func TestLargeConfigurationIsInForceInTimeOverSlowLink(t *testing.T) {
	x := newSlowConfiguration(t)
	x.put(2, largeConfigurationRoutes)
	began := time.Now()
	waitFor(t, "version 2", x.inForce(2))
	if took := time.Since(began); took > maxApplyTimeOfLarge {
		t.Errorf("the configuration was in force after %v, want at most %v", took, maxApplyTimeOfLarge)
	}
}

// TestInterruptSparesArrivingAnswer guards against a transfer that begins anew each time a peer reports that it has applied the version that is
// being transferred.
func TestInterruptSparesArrivingAnswer(t *testing.T) {
	const part = 100_000
	x := newSlowConfiguration(t)
	received := x.received.Load()
	x.put(2, largeConfigurationRoutes)
	waitFor(t, "a part of the answer", func() bool { return x.received.Load() > received+part })
	calls := x.store.Calls()
	x.follower.interrupt("a peer has applied a newer version")
	waitFor(t, "version 2", x.inForce(2))
	if n := x.store.Calls() - calls; n > 0 {
		t.Errorf("the store got %d further calls before the answer had arrived", n)
	}
}
