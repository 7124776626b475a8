package main

import (
	"cmp"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/replication"
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
func newFollowers(store *platform.Store, r *relay.Relay, d *roster.Directory, liveInstances func() int, other replicas, logger *log.Logger) *followers {
	f := &followers{
		configuration: newConfigurationFollower(store, r, liveInstances, other, logger),
		endpoints:     newEndpointFollower(store, d, liveInstances, other, logger),
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
	Configuration, Endpoints replication.Version
}

// applied returns the versions of the last changes that this instance has applied.
func (f *followers) applied() appliedVersions {
	return appliedVersions{Configuration: f.configuration.lag.Changed(), Endpoints: f.endpoints.lag.Changed()}
}

// receive passes an update of a reader on to the follower of its table.
func (f *followers) receive(u *replication.Update) {
	for _, x := range []*follower{f.configuration, f.endpoints} {
		if x.table == u.Table {
			x.receive(u)
		}
	}
}

// peerApplied records the versions that a peer reported.
func (f *followers) peerApplied(v appliedVersions) {
	f.configuration.lag.PeerApplied(v.Configuration)
	f.endpoints.lag.PeerApplied(v.Endpoints)
}

// newConfigurationFollower returns a follower that applies each new version of the operator's configuration to the relay. Its updates
// have no changes, as a configuration does not fit into a datagram.
func newConfigurationFollower(store *platform.Store, r *relay.Relay, liveInstances func() int, other replicas, logger *log.Logger) *follower {
	f := newFollower(store, platform.OperatorTable, 0, liveInstances, other, logger)
	rejected := newRejectedRows(logger, platform.OperatorTable, "ConfigurationRejected")
	f.apply = func(rows []platform.Row, _ bool) []replication.Change {
		var changes []replication.Change
		for _, row := range rows {
			changes = append(changes, replication.Change{Version: replication.Version(row.Version)})
			if row.Key == platform.ConfigurationKey && !row.Deleted {
				applyConfiguration(row, r, rejected, logger)
			}
		}
		return changes
	}
	return f
}

func applyConfiguration(row platform.Row, r *relay.Relay, rejected *rejectedRows, logger *log.Logger) {
	table, findings, err := platform.DecodeConfiguration(row.Value)
	if err = cmp.Or(row.Err, err); err != nil {
		rejected.add(row.Key, row.Version, err)
		return
	}
	rejected.remove(row.Key)
	applied := r.SetTable(table)
	if applied {
		for _, f := range findings {
			logger.Warn().Str("Finding", f.String()).Msg("ConfigurationFinding")
		}
	}
	logger.Info().Int64("Version", int64(table.Version)).Int("RowVersion", row.Version).Int("Routes", table.Routes()).
		Bool("Taken", applied).Msg("Configuration")
}

// newEndpointFollower returns a follower that keeps the directory up to date with the platform's replica table.
func newEndpointFollower(store *platform.Store, d *roster.Directory, liveInstances func() int, other replicas, logger *log.Logger) *follower {
	f := newFollower(store, platform.ReplicaTable, maxUpdateChanges, liveInstances, other, logger)
	rejected := newRejectedRows(logger, platform.ReplicaTable, "EndpointRejected")
	f.apply = func(rows []platform.Row, full bool) []replication.Change {
		changes := make([]replication.Change, 0, len(rows))
		for _, row := range rows {
			changes = append(changes, decodeEndpoint(row, rejected))
		}
		applyEndpoints(changes, d, logger)
		if full {
			retainEndpoints(changes, d, logger)
			rejected.retain(keysOf(rows))
		}
		return changes
	}
	f.applyChanges = func(changes []replication.Change) { applyEndpoints(changes, d, logger) }
	f.onLost = d.StoreLost
	f.onRegained = func() {
		d.StoreRegained(time.Now())
		time.AfterFunc(roster.LapseGrace, func() { dropLapsedEndpoints(d, logger) })
	}
	return f
}

// retainEndpoints removes the endpoints that the whole table does not list.
func retainEndpoints(all []replication.Change, d *roster.Directory, logger *log.Logger) {
	listed := map[wire.EndpointId]bool{}
	for _, c := range all {
		if c.Listing != nil {
			listed[c.ID] = true
		}
	}
	for _, id := range d.Retain(listed, time.Now()) {
		logger.Info().Str("Endpoint", string(id)).Str("Reason", "not listed").Msg("EndpointGone")
	}
}

// dropLapsedEndpoints drops the endpoints whose entries lapsed during a store outage and were not listed again within
// roster.LapseGrace.
func dropLapsedEndpoints(d *roster.Directory, logger *log.Logger) {
	for _, id := range d.DropLapsed(time.Now()) {
		logger.Info().Str("Endpoint", string(id)).Str("Reason", "lapsed and not listed again").Msg("EndpointGone")
	}
}

// decodeEndpoint decodes one row of the replica table. A row that lists no usable endpoint counts as deleted.
func decodeEndpoint(row platform.Row, rejected *rejectedRows) replication.Change {
	version, id := replication.Version(row.Version), wire.EndpointId(row.Key)
	if row.Deleted {
		rejected.remove(row.Key)
		return replication.NewChange(version, id, nil)
	}
	entry, err := platform.DecodeReplica(row)
	if err != nil {
		rejected.add(row.Key, row.Version, err)
		return replication.NewChange(version, id, nil)
	}
	rejected.remove(row.Key)
	return replication.NewChange(version, id, &entry)
}

// keysOf returns the keys of rows.
func keysOf(rows []platform.Row) map[string]bool {
	keys := make(map[string]bool, len(rows))
	for _, r := range rows {
		keys[r.Key] = true
	}
	return keys
}

// applyEndpoints applies changes to the directory in one view.
func applyEndpoints(changes []replication.Change, d *roster.Directory, logger *log.Logger) {
	d.Batch(func() {
		for _, c := range changes {
			applyEndpoint(c, d, logger)
		}
	})
}

func applyEndpoint(c replication.Change, d *roster.Directory, logger *log.Logger) {
	entry := c.Entry()
	if entry == nil {
		if !d.Known(c.ID) {
			return
		}
		removed := d.Remove(c.ID, time.Now())
		logger.Info().Str("Endpoint", string(c.ID)).Int("RowVersion", int(c.Version)).Bool("Gone", removed).Msg("EndpointUnlisted")
		return
	}
	if d.Put(*entry) {
		logger.Info().Str("Endpoint", string(c.ID)).Int64("Born", entry.Born).Str("Service", string(entry.Service)).
			Str("Domain", string(entry.Domain)).Str("Stage", entry.Stage.String()).Bool("Leaving", entry.Leaving).
			Bool("Spot", entry.Spot).Int("RowVersion", int(c.Version)).Msg("Endpoint")
	}
}
