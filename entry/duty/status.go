package duty

import (
	"encoding/json"
	"net/http"

	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/wire"
)

// serveStatus shows which leases this process believes to hold.
func (d *Duties) serveStatus(w http.ResponseWriter, _ *http.Request) {
	var list wire.LeaseBeliefList
	for _, k := range d.keepers() {
		list.Leases = append(list.Leases, d.belief(k))
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		d.logger.Debug().Err(err).Msg("status not sent")
	}
}

func (d *Duties) belief(k *lease.Keeper) wire.LeaseBelief {
	b := k.Belief()
	return wire.LeaseBelief{
		Lease:       k.Name(),
		Holds:       b.Holds,
		Epoch:       b.Epoch,
		LeftMillis:  int(b.Left.Milliseconds()),
		Instance:    d.cfg.Instance,
		Incarnation: d.cfg.Incarnation,
	}
}
