package duty

import (
	"encoding/json"
	"net/http"

	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/wire"
)

// serveStatus answers with the state of both leases as this process believes it to be.
func (d *Duties) serveStatus(w http.ResponseWriter, _ *http.Request) {
	var list wire.LeaseBeliefList
	for _, k := range d.keepers() {
		list.Leases = append(list.Leases, d.leaseBelief(k))
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		d.logger.Debug().Err(err).Msg("cannot send the status of the leases")
	}
}

// leaseBelief returns a lease's state in the form of the answer.
func (d *Duties) leaseBelief(k *lease.Keeper) wire.LeaseBelief {
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
