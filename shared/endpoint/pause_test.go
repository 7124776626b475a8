package endpoint_test

import (
	"testing"
	"time"

	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/wire"
)

// maxRecovery is how soon all endpoints have to be in use again after a network cut ends.
const maxRecovery = 7 * time.Second

// TestRecoveredEndpointIsRetriedInTime fails an endpoint repeatedly, as a long network cut does. The pause must never grow longer
// than maxRecovery, or the endpoint would stay unused for too long after the cut.
func TestRecoveredEndpointIsRetriedInTime(t *testing.T) {
	d := endpoint.NewDirectory()
	d.Apply(wire.EndpointStates{Epoch: 1, Endpoints: ready("a")})
	list := d.View().Model("m")
	rng := endpoint.NewRandom()
	now := epochStart
	for range 20 {
		e := endpoint.Choose(list, endpoint.Need{}, now, rng)
		if e == nil {
			t.Fatalf("after %v the endpoint is still paused", now.Sub(epochStart))
		}
		e.RecordFailure(now)
		e.Release()
		now = now.Add(maxRecovery)
	}
}
