package relay_test

import (
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/serving/relay"
)

// TestEndpointHoldsNoMoreThanItsBound guards against endpoints that crash as the requests that they hold exceed their memory: each of four gets
// one body of 60 bytes, the fifth is not sent, and all are taken off again at the end.
func TestEndpointHoldsNoMoreThanItsBound(t *testing.T) {
	h := newHarness(func(*relay.Attempt) behaviour { return hangs }, relay.WithEndpointBytes(100))
	request := func() *fakeCaller {
		return h.serve(t.Context(), &relay.Request{ID: "r", Arrived: time.Now(), Method: "POST", Path: "/once/", Host: "h", Body: make([]byte, 60)})
	}
	done := make(chan *fakeCaller)
	held := func() (n int64) {
		for _, e := range h.directory.View().Service(plainService) {
			if e.HeldBytes() > 60 {
				t.Errorf("an endpoint holds %d bytes", e.HeldBytes())
			}
			n += e.HeldBytes()
		}
		return n
	}
	// One after the other: requests that choose at the same moment may exceed the bound together.
	for n := range int64(4) {
		go func() { done <- request() }()
		for held() < 60*(n+1) {
			time.Sleep(time.Millisecond)
		}
	}
	if c := request(); c.refusal == nil || c.refusal.Verdict != relay.NotRun || !strings.Contains(c.refusal.Reason, "bytes") || c.refusal.RetryAfter <= 0 {
		t.Errorf("got %+v", c.refusal)
	}
	for range 4 {
		<-done
	}
	if n := held(); n != 0 {
		t.Errorf("%d bytes count after the requests have ended", n)
	}
}

// TestEndpointThatHoldsNothingTakesAnyBody guards against bodies over the bound that no endpoint ever gets.
func TestEndpointThatHoldsNothingTakesAnyBody(t *testing.T) {
	h := newHarness(func(*relay.Attempt) behaviour { return succeeds }, relay.WithEndpointBytes(10))
	c := h.serve(t.Context(), &relay.Request{ID: "r", Arrived: time.Now(), Method: "POST", Path: "/once/", Host: "h", Body: make([]byte, 60)})
	if c.status != 200 {
		t.Errorf("got %+v", c)
	}
}

// TestShareDoesNotRefuseWhileThereIsRoom guards against refusals while endpoints are merely at this instance's own share: beyond the share,
// requests are sent as long as what the peers are estimated to hold leaves room.
func TestShareDoesNotRefuseWhileThereIsRoom(t *testing.T) {
	for _, test := range []struct {
		name         string
		share        int64
		body, peers  int
		wantAnswered bool
	}{
		{"beyond the share, with room", 100, 60, 5, true},
		{"beyond the share, full of peers' requests", 100, 60, 20, false},
		{"within the share, full of peers' requests", 200, 60, 20, true},
		{"large bodies, of which peers hold as many", 100, 400_000, 2, false},
		{"large bodies without peers", 100, 400_000, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(func(*relay.Attempt) behaviour { return succeeds }, relay.WithEndpointBytes(1_000_000))
			h.relay.SetEndpointShare(test.share)
			for _, e := range h.directory.View().Service(plainService) {
				e.Begin(0)
				e.Hold(test.body)
				e.SetPeerLoad(0, test.peers)
			}
			c := h.serve(t.Context(), &relay.Request{ID: "r", Arrived: time.Now(), Method: "POST", Path: "/once/", Host: "h", Body: make([]byte, test.body)})
			if answered := c.status == 200; answered != test.wantAnswered {
				t.Errorf("answered %v, refusal %+v", answered, c.refusal)
			}
		})
	}
}
