package main

import (
	"maps"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/replication"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"github.com/phuslu/log"
)

// newEndpointFollower returns a follower that keeps the directory up to date with the platform's replica table.
func newEndpointFollower(store *platform.Store, d *roster.Directory, liveInstances func() int, other replicas, logger *log.Logger) *follower {
	f := newFollower(store, platform.ReplicaTable, maxUpdateChanges, liveInstances, other, logger)
	rejected := newRejectedRows(logger, platform.ReplicaTable, "EndpointRejected")
	restored := &restoredEntries{}
	f.apply = func(rows []platform.Row, full bool) []replication.Change {
		changes, unusable := decodeEndpoints(rows, d, rejected)
		if full {
			applyEndpoints(restored.withoutOlder(changes, d), d, logger)
		} else {
			applyEndpoints(changes, d, logger)
		}
		for id := range unusable {
			d.Overwritten(id, time.Now())
		}
		if full {
			retainEndpoints(changes, unusable, d, logger)
			rejected.retain(keysOf(rows))
		}
		dropSilentEndpoints(d, logger)
		return changes
	}
	f.applyChanges = func(changes []replication.Change) {
		applyEndpoints(changes, d, logger)
		dropSilentEndpoints(d, logger)
	}
	f.onLost = d.StoreLost
	f.onRegained = func() {
		d.StoreRegained(time.Now())
		time.AfterFunc(roster.LapseGrace, func() { dropLapsedEndpoints(d, logger) })
	}
	return f
}

// retainEndpoints removes the endpoints that the whole table does not list. Those with unusable entries stay.
func retainEndpoints(all []replication.Change, unusable map[wire.EndpointId]bool, d *roster.Directory, logger *log.Logger) {
	listed := maps.Clone(unusable)
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

// dropSilentEndpoints drops the endpoints that have not replaced an unusable entry for several heartbeat intervals.
func dropSilentEndpoints(d *roster.Directory, logger *log.Logger) {
	for _, id := range d.DropSilent(time.Now()) {
		logger.Info().Str("Endpoint", string(id)).Str("Reason", "its entry is unusable and was not written again").Msg("EndpointGone")
	}
}

// decodeEndpoints decodes rows of the replica table. It returns the changes and the ids whose last row lists no usable endpoint, which
// changes nothing.
func decodeEndpoints(rows []platform.Row, d *roster.Directory, rejected *rejectedRows) ([]replication.Change, map[wire.EndpointId]bool) {
	changes, unusable := make([]replication.Change, 0, len(rows)), map[wire.EndpointId]bool{}
	for _, row := range rows {
		id := wire.EndpointId(row.Key)
		change, err := decodeEndpoint(row, d)
		if err != nil {
			rejected.add(row.Key, row.Version, err)
			unusable[id] = true
			continue
		}
		rejected.remove(row.Key)
		delete(unusable, id)
		changes = append(changes, change)
	}
	return changes, unusable
}

// decodeEndpoint decodes one row of the replica table. One without a value is gone.
func decodeEndpoint(row platform.Row, d *roster.Directory) (replication.Change, error) {
	version, id := replication.Version(row.Version), wire.EndpointId(row.Key)
	if row.Deleted || (row.Value == nil && row.Err == nil) {
		return replication.NewChange(version, id, nil), nil
	}
	entry, err := platform.DecodeReplica(row)
	if err == nil {
		err = d.CheckReplacement(entry)
	}
	return replication.NewChange(version, id, &entry), err
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
