package endpoint_test

import (
	"testing"
	"time"

	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/wire"
)

// healWithin is how soon everything has to work again after a cut.
const healWithin = 7 * time.Second

// TestHealedEndpointGetsWorkInTime fails an endpoint over and over, as a long cut does, and demands that it is tried again
// within the target.
func TestHealedEndpointGetsWorkInTime(t *testing.T) {
	d := endpoint.NewDirectory()
	d.Apply(wire.EndpointStates{Epoch: 1, Endpoints: ready("a")})
	list := d.View().Model("m")
	rng := endpoint.NewRandom()
	now := epochStart
	for range 20 {
		e := endpoint.Choose(list, endpoint.Need{}, now, rng)
		if e == nil {
			t.Fatalf("after %v the endpoint is still left alone", now.Sub(epochStart))
		}
		e.Failed(now)
		e.Release()
		now = now.Add(healWithin)
	}
}
