package main

import (
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/catchup"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"github.com/phuslu/log"
)

// followers keep copies of the tables that other parties write: the operator's configuration and the list of endpoints.
type followers struct {
	configuration, endpoints *follower
}

// newFollowers returns followers that interrupt each other's feed when one loses the store: during an outage in which the store does
// not answer, the feed of the other may stay open long after the store has returned.
func newFollowers(store *platform.Store, r *relay.Relay, d *roster.Directory, liveInstances func() int, logger *log.Logger) *followers {
	f := &followers{
		configuration: newConfigurationFollower(store, r, liveInstances, logger),
		endpoints:     newEndpointFollower(store, d, liveInstances, logger),
	}
	interruptOnLoss(f.configuration, f.endpoints)
	interruptOnLoss(f.endpoints, f.configuration)
	return f
}

// interruptOnLoss makes other read its table again when f loses the store.
func interruptOnLoss(f, other *follower) {
	onLost := f.onLost
	f.onLost = func() {
		onLost()
		other.interrupt("the store did not answer a call for table " + f.table)
	}
}

// appliedVersions are the versions of the last changes that an instance has applied, which it reports to its peers.
type appliedVersions struct {
	_                        struct{} `cbor:",toarray"`
	Configuration, Endpoints catchup.Version
}

// applied returns the versions of the last changes that this instance has applied.
func (f *followers) applied() appliedVersions {
	return appliedVersions{Configuration: f.configuration.lag.Changed(), Endpoints: f.endpoints.lag.Changed()}
}

// peerApplied records the versions that a peer reported.
func (f *followers) peerApplied(v appliedVersions) {
	f.configuration.lag.PeerApplied(v.Configuration)
	f.endpoints.lag.PeerApplied(v.Endpoints)
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
	return newFollower(store, platform.OperatorTable, apply, func() {}, func() {}, liveInstances, logger)
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
	return newFollower(store, platform.ReplicaTable, apply, d.StoreLost, onRegained, liveInstances, logger)
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
