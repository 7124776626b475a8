package main

import (
	"cmp"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/replication"
	"cowslipshunt.example/serving/roster"
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
