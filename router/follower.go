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

// follower keeps what one table of the store holds. It reads the table whole and then follows its changes.
type follower struct {
	store  *platform.Store
	table  string
	logger *log.Logger
	// take is called with the changed rows, or with all rows if whole is set.
	take func(rows []platform.Row, whole bool)
	// lost and back are called when the store stops answering and when it answers again.
	lost, back func()
	// instances counts the instances alive.
	instances func() int

	version int
	read    bool
	away    bool
	// changed tells that the last step brought changes.
	changed bool
}

// run follows the table until ctx ends.
func (f *follower) run(ctx context.Context) {
	backoff := membership.FirstBackoff
	for ctx.Err() == nil {
		began := time.Now()
		err := f.step(ctx)
		if err == nil {
			backoff = membership.FirstBackoff
			f.wait(ctx)
			continue
		}
		var history *platform.HistoryLostError
		if errors.As(err, &history) {
			f.logger.Warn().Str("Table", f.table).Int("After", f.version).Msg("HistoryLost")
			f.read = false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.missed(err)
		// A read fails sooner than a feed, which the store may hold for long.
		f.read = false
		longest := membership.MaxBackoff(f.instances(), time.Since(began))
		select {
		case <-ctx.Done():
		case <-time.After(min(backoff, longest)):
		}
		backoff = min(2*backoff, longest)
	}
}

// wait batches further changes after some came.
func (f *follower) wait(ctx context.Context) {
	if !f.changed {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(membership.BatchDelay(f.instances())):
	}
}

// step reads the table whole if the changes since the last version are not to be had, and waits for changes otherwise.
func (f *follower) step(ctx context.Context) error {
	if !f.read {
		all, err := f.store.ReadAll(ctx, f.table, "", "")
		if err != nil {
			return err
		}
		f.regained()
		f.take(all.Rows, true)
		f.version, f.read, f.changed = all.Version, true, false
		return nil
	}
	changes, err := f.store.Feed(ctx, f.table, f.version, membership.FeedWait(f.instances()))
	if err != nil {
		return err
	}
	f.regained()
	f.take(changes.Rows, false)
	f.version = max(f.version, changes.Version)
	f.changed = len(changes.Rows) > 0
	return nil
}

func (f *follower) missed(err error) {
	if f.away {
		return
	}
	f.away = true
	metrics.GetOrCreateCounter(`router_store_lost_total{table="` + f.table + `"}`).Inc()
	f.logger.Warn().Str("Dependency", "Store").Str("Table", f.table).Int("After", f.version).Err(err).Msg("DependencyLost")
	f.lost()
}

func (f *follower) regained() {
	if !f.away {
		return
	}
	f.away = false
	f.logger.Info().Str("Dependency", "Store").Str("Table", f.table).Int("After", f.version).Msg("DependencyRegained")
	f.back()
}

// followConfiguration puts each newer configuration of the operator in force.
func followConfiguration(store *platform.Store, r *relay.Relay, instances func() int, logger *log.Logger) *follower {
	take := func(rows []platform.Row, _ bool) {
		for _, row := range rows {
			if row.Key == platform.ConfigurationKey && !row.Dropped {
				takeConfiguration(row, r, logger)
			}
		}
	}
	return &follower{store: store, table: platform.OperatorTable, logger: logger, take: take, lost: func() {}, back: func() {}, instances: instances}
}

func takeConfiguration(row platform.Row, r *relay.Relay, logger *log.Logger) {
	table, findings, err := platform.DecodeConfiguration(row.Value)
	if err != nil {
		logger.Error().Int("RowVersion", row.Version).Err(err).Msg("ConfigurationRejected")
		return
	}
	for _, f := range findings {
		logger.Warn().Str("Finding", f.String()).Msg("ConfigurationFinding")
	}
	taken := r.SetTable(table)
	logger.Info().Int64("Version", int64(table.Version)).Int("RowVersion", row.Version).Int("Routes", table.Routes()).
		Bool("Taken", taken).Msg("Configuration")
}

// followReplicas keeps the directory as the store lists the replicas.
func followReplicas(store *platform.Store, d *roster.Directory, instances func() int, logger *log.Logger) *follower {
	take := func(rows []platform.Row, whole bool) {
		listed := map[wire.EndpointId]bool{}
		d.Batch(func() {
			for _, row := range rows {
				if takeReplica(row, d, logger) {
					listed[wire.EndpointId(row.Key)] = true
				}
			}
		})
		if !whole {
			return
		}
		for _, id := range d.Retain(listed, time.Now()) {
			logger.Info().Str("Endpoint", string(id)).Str("Reason", "not listed").Msg("EndpointGone")
		}
	}
	back := func() {
		d.StoreBack(time.Now())
		time.AfterFunc(roster.LapseGrace, func() { settle(d, logger) })
	}
	return &follower{store: store, table: platform.ReplicaTable, logger: logger, take: take, lost: d.StoreLost, back: back, instances: instances}
}

// settle drops the endpoints whose entries lapsed with the store and did not come back.
func settle(d *roster.Directory, logger *log.Logger) {
	for _, id := range d.Settle(time.Now()) {
		logger.Info().Str("Endpoint", string(id)).Str("Reason", "lapsed and not listed again").Msg("EndpointGone")
	}
}

// takeReplica takes one row in and tells whether it names a replica to use.
func takeReplica(row platform.Row, d *roster.Directory, logger *log.Logger) bool {
	id := wire.EndpointId(row.Key)
	if row.Dropped {
		gone := d.Remove(id, time.Now())
		logger.Info().Str("Endpoint", row.Key).Int("RowVersion", row.Version).Bool("Gone", gone).Msg("EndpointUnlisted")
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
