package main

import (
	"encoding/json"
	"net/http"

	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/wire"
)

// serveStatus shows which leases this process believes to hold.
func (c *controller) serveStatus(w http.ResponseWriter, _ *http.Request) {
	var list wire.LeaseBeliefList
	for _, k := range c.keepers() {
		list.Leases = append(list.Leases, c.belief(k))
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		c.logger.Debug().Err(err).Msg("status not sent")
	}
}

func (c *controller) belief(k *lease.Keeper) wire.LeaseBelief {
	b := k.Belief()
	return wire.LeaseBelief{
		Lease:       k.Name(),
		Holds:       b.Holds,
		Epoch:       b.Epoch,
		LeftMillis:  int(b.Left.Milliseconds()),
		Instance:    c.cfg.Instance,
		Incarnation: c.incarnation,
	}
}
