package endpoint_test

import (
	"testing"
	"time"

	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/wire"
)

// TestSilentRequestIsNoProbe guards against an endpoint that gets no more requests, as one to which it sends nothing stays there. After the
// pause one request at a time may probe the endpoint, and once one has succeeded it has all of its slots again.
func TestSilentRequestIsNoProbe(t *testing.T) {
	d := endpoint.NewDirectory(endpoint.WithLimits(func(wire.EndpointKindName) int { return 3 }))
	d.Apply(wire.EndpointStates{Epoch: 1, Endpoints: ready("a")})
	now := epochStart
	choose := func() *endpoint.Slot {
		return endpoint.Choose(d.View().Model("m"), endpoint.Need{}, now, endpoint.NewRandom())
	}
	silent := choose()
	silent.RecordSilence(now)
	silent.RecordSilence(now)
	if choose() != nil {
		t.Error("the endpoint is not paused")
	}
	now = now.Add(time.Second)
	probe := choose()
	if probe == nil {
		t.Fatal("no probe was allowed")
	}
	if choose() != nil {
		t.Error("two probes were allowed")
	}
	probe.RecordStart()
	other := choose()
	if other == nil || choose() != nil {
		t.Error("the endpoint does not have all of its slots after the probe")
	}
	silent.Release()
	other.RecordFailure(now)
	now = now.Add(time.Second)
	probe.Release()
	if choose() != nil {
		t.Error("a request that has ended counts as silent")
	}
}
