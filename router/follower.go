package main

import (
	"context"
	"errors"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// follower keeps a copy of one table of the store up to date. It reads the whole table first and then follows the feed of changes.
type follower struct {
	store  *platform.Store
	table  string
	logger *log.Logger
	// apply is called with the changed rows, or with all rows if full is set.
	apply func(rows []platform.Row, full bool)
	// onLost is called when the store stops answering, onRegained when it answers again.
	onLost, onRegained func()
	// liveInstances counts the live instances, this one included.
	liveInstances func() int

	// version is the store's version up to which changes were applied.
	version int
	// synced is set while the feed can continue from version. Otherwise the next step reads the whole table.
	synced bool
	// storeLost is set from a failed call until the next answer.
	storeLost bool
	// gotChanges is set if the last step applied rows from the feed.
	gotChanges bool
}

// run follows the table until ctx ends.
func (f *follower) run(ctx context.Context) {
	backoff := membership.InitialBackoff
	for ctx.Err() == nil {
		began := time.Now()
		err := f.step(ctx)
		if err == nil {
			backoff = membership.InitialBackoff
			f.waitForBatch(ctx)
			continue
		}
		var history *platform.HistoryLostError
		if errors.As(err, &history) {
			f.logger.Warn().Str("Table", f.table).Int("After", f.version).Msg("HistoryLost")
			f.synced = false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.noteFailure(err)
		// The next call reads the whole table: a read times out sooner than a feed, which the store may hold open for a
		// long time.
		f.synced = false
		maxBackoff := membership.MaxBackoff(f.liveInstances(), time.Since(began))
		select {
		case <-ctx.Done():
		case <-time.After(min(backoff, maxBackoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// waitForBatch delays the next feed call if the last one returned changes, so that the next returns several changes at once.
func (f *follower) waitForBatch(ctx context.Context) {
	if !f.gotChanges {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(membership.BatchDelay(f.liveInstances())):
	}
}

// step makes one call to the store: it waits for changes after the last version, or reads the whole table if f is not synced.
func (f *follower) step(ctx context.Context) error {
	if !f.synced {
		all, err := f.store.ReadAll(ctx, f.table, "", "")
		if err != nil {
			return err
		}
		f.noteSuccess()
		f.apply(all.Rows, true)
		f.version, f.synced, f.gotChanges = all.Version, true, false
		return nil
	}
	changes, err := f.store.Feed(ctx, f.table, f.version, membership.FeedWait(f.liveInstances()))
	if err != nil {
		return err
	}
	f.noteSuccess()
	f.apply(changes.Rows, false)
	f.version = max(f.version, changes.Version)
	f.gotChanges = len(changes.Rows) > 0
	return nil
}

// noteFailure logs and counts the loss of the store at the first of several failed calls.
func (f *follower) noteFailure(err error) {
	if f.storeLost {
		return
	}
	f.storeLost = true
	metrics.GetOrCreateCounter(`router_store_lost_total{table="` + f.table + `"}`).Inc()
	f.logger.Warn().Str("Dependency", "Store").Str("Table", f.table).Int("After", f.version).Err(err).Msg("DependencyLost")
	f.onLost()
}

// noteSuccess logs the return of the store at the first answer after a failed call.
func (f *follower) noteSuccess() {
	if !f.storeLost {
		return
	}
	f.storeLost = false
	f.logger.Info().Str("Dependency", "Store").Str("Table", f.table).Int("After", f.version).Msg("DependencyRegained")
	f.onRegained()
}

// newConfigurationFollower returns a follower that applies each new version of the operator's configuration to the relay.
func newConfigurationFollower(store *platform.Store, r *relay.Relay, liveInstances func() int, logger *log.Logger) *follower {
	apply := func(rows []platform.Row, _ bool) {
		for _, row := range rows {
			if row.Key == platform.ConfigurationKey && !row.Deleted {
				applyConfiguration(row, r, logger)
			}
		}
	}
	return &follower{
		store: store, table: platform.OperatorTable, logger: logger, apply: apply, onLost: func() {}, onRegained: func() {},
		liveInstances: liveInstances,
	}
}

func applyConfiguration(row platform.Row, r *relay.Relay, logger *log.Logger) {
	table, findings, err := platform.DecodeConfiguration(row.Value)
	if err != nil {
		logger.Error().Int("RowVersion", row.Version).Err(err).Msg("ConfigurationRejected")
		return
	}
	for _, f := range findings {
		logger.Warn().Str("Finding", f.String()).Msg("ConfigurationFinding")
	}
	applied := r.SetTable(table)
	logger.Info().Int64("Version", int64(table.Version)).Int("RowVersion", row.Version).Int("Routes", table.Routes()).
		Bool("Taken", applied).Msg("Configuration")
}

// newEndpointFollower returns a follower that keeps the directory up to date with the platform's replica table.
func newEndpointFollower(store *platform.Store, d *roster.Directory, liveInstances func() int, logger *log.Logger) *follower {
	apply := func(rows []platform.Row, full bool) {
		listed := map[wire.EndpointId]bool{}
		d.Batch(func() {
			for _, row := range rows {
				if applyEndpoint(row, d, logger) {
					listed[wire.EndpointId(row.Key)] = true
				}
			}
		})
		if !full {
			return
		}
		for _, id := range d.Retain(listed, time.Now()) {
			logger.Info().Str("Endpoint", string(id)).Str("Reason", "not listed").Msg("EndpointGone")
		}
	}
	onRegained := func() {
		d.StoreRegained(time.Now())
		time.AfterFunc(roster.LapseGrace, func() { dropLapsedEndpoints(d, logger) })
	}
	return &follower{
		store: store, table: platform.ReplicaTable, logger: logger, apply: apply, onLost: d.StoreLost, onRegained: onRegained,
		liveInstances: liveInstances,
	}
}

// dropLapsedEndpoints drops the endpoints whose entries lapsed during a store outage and were not listed again within
// roster.LapseGrace.
func dropLapsedEndpoints(d *roster.Directory, logger *log.Logger) {
	for _, id := range d.DropLapsed(time.Now()) {
		logger.Info().Str("Endpoint", string(id)).Str("Reason", "lapsed and not listed again").Msg("EndpointGone")
	}
}

// applyEndpoint applies one row of the replica table to the directory and reports whether the row lists a usable endpoint.
func applyEndpoint(row platform.Row, d *roster.Directory, logger *log.Logger) bool {
	id := wire.EndpointId(row.Key)
	if row.Deleted {
		removed := d.Remove(id, time.Now())
		logger.Info().Str("Endpoint", row.Key).Int("RowVersion", row.Version).Bool("Gone", removed).Msg("EndpointUnlisted")
		return false
	}
	entry, err := platform.DecodeReplica(row)
	if err != nil {
		d.Remove(id, time.Now())
		logger.Warn().Int("RowVersion", row.Version).Err(err).Msg("EndpointRejected")
		return false
	}
	if d.Put(entry) {
		logger.Info().Str("Endpoint", row.Key).Int64("Born", entry.Born).Str("Service", string(entry.Service)).
			Str("Domain", string(entry.Domain)).Str("Stage", entry.Stage.String()).Bool("Leaving", entry.Leaving).
			Bool("Spot", entry.Spot).Int("RowVersion", row.Version).Msg("Endpoint")
	}
	return true
}
