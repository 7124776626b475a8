package roster

import (
	"errors"
	"time"

	"cowslipshunt.example/wire"
)

// silentHeartbeats is how many heartbeat intervals an endpoint whose entry is overwritten stays listed. An endpoint that is alive writes its
// entry again within about one.
const silentHeartbeats = 3

// errNoStage reports an entry without a stage in place of that of an engine.
var errNoStage = errors.New("missing: stage, models")

// Option changes a new directory.
type Option func(d *Directory)

// WithHeartbeat sets the interval at which endpoints write their entries.
func WithHeartbeat(interval time.Duration) Option {
	return func(d *Directory) { d.silence = silentHeartbeats * interval }
}

// CheckReplacement returns an error if an entry cannot replace the one that is known of its endpoint: an engine does not lose its stage
// within one service.
func (d *Directory) CheckReplacement(entry Entry) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, known := d.endpoints[entry.ID]
	if known && e.Entry().Service == entry.Service && e.Entry().Stage != NoStage && entry.Stage == NoStage {
		return errNoStage
	}
	return nil
}

// Overwritten records that an unusable entry has replaced that of an endpoint. It changes nothing that is believed of the endpoint, nor does
// it renew its listing.
func (d *Directory) Overwritten(id wire.EndpointId, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.endpoints[id]
	if _, already := d.overwritten[id]; known && !already {
		d.overwritten[id] = now
	}
}

// DropSilent removes, as Remove does, the endpoints that have not replaced an unusable entry for several heartbeat intervals. It returns the
// ids of those that were removed at once. It is to be called when the store has answered.
func (d *Directory) DropSilent(now time.Time) []wire.EndpointId {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.silence <= 0 {
		return nil
	}
	var removed []wire.EndpointId
	for id, since := range d.overwritten {
		if now.Sub(since) >= d.silence && d.remove(id, now) {
			removed = append(removed, id)
		}
	}
	return removed
}
