package peer

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cowslipshunt.example/entry/admission"
	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
)

// fakeNetwork is the transport and the control links to peers. It records the addresses to which requests were sent.
type fakeNetwork struct {
	clock *clockwork.FakeClock
	// errs holds the error for each address at which sending fails. Other addresses answer with status 200.
	errs map[string]error
	sent []string
	// linked holds the peers with a control link.
	linked []wire.Hello
}

var (
	errDialTimeout = &net.OpError{Op: "dial", Err: errors.New("timeout")}
	errReset       = &net.OpError{Op: "read", Err: errors.New("reset")}
)

// RoundTrip answers with status 200, or returns the error of the address. A dial that times out advances the clock by dialTimeout.
func (n *fakeNetwork) RoundTrip(r *http.Request) (*http.Response, error) {
	n.sent = append(n.sent, r.URL.Host)
	err := n.errs[r.URL.Host]
	if errors.Is(err, errDialTimeout) {
		n.clock.Advance(dialTimeout)
	}
	if err != nil {
		return nil, err
	}
	recorder := httptest.NewRecorder()
	recorder.WriteHeader(http.StatusOK)
	return recorder.Result(), nil
}

// Links returns the peers with a control link.
func (n *fakeNetwork) Links() []wire.Hello {
	return n.linked
}

// newForwarder returns a forwarder to peers in failure domain b, from an entry in failure domain a.
func newForwarder(n *fakeNetwork, count int) *Forwarder {
	var list []Entry
	for i := range count {
		name := fmt.Sprintf("b%d", i)
		list = append(list, Entry{Instance: wire.InstanceName(name), Domain: "b", Address: name})
	}
	f := NewForwarder(wire.Hello{Instance: "a0", Domain: "a"}, list, "", n, n.clock, time.Second)
	f.transport = n
	return f
}

// forward forwards one request and returns the refusal and the status that the caller got.
func forward(f *Forwarder) (*problem.Problem, int) {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/services/booking/bookings", nil)
	p := f.Forward(w, r, &admission.Request{ID: "r", Log: log.Logger{}}, []byte("{}"))
	return p, w.Code
}

// TestUnreachablePeersCostBoundedTime guards against a request that waits for the dial timeout of every peer. Connections to all
// eight peers time out.
func TestUnreachablePeersCostBoundedTime(t *testing.T) {
	n := &fakeNetwork{clock: clockwork.NewFakeClock(), errs: map[string]error{}}
	f := newForwarder(n, 8)
	for _, p := range f.peers {
		n.errs[p.Address] = errDialTimeout
	}
	start := n.clock.Now()
	p, _ := forward(f)
	if p == nil || p.Outcome != problem.NotRun {
		t.Fatalf("refusal %+v", p)
	}
	if spent := n.clock.Since(start); spent > maxUnreachableTime {
		t.Errorf("the request spent %v on unreachable peers, more than %v", spent, maxUnreachableTime)
	}
}

// TestFailedPeersArePaused sends a request right after one that found every peer unreachable, which must try no peer, and another
// one after the pause, when the peers are reachable again.
func TestFailedPeersArePaused(t *testing.T) {
	n := &fakeNetwork{clock: clockwork.NewFakeClock(), errs: map[string]error{"b0": errDialTimeout, "b1": errDialTimeout}}
	f := newForwarder(n, 2)
	forward(f)
	n.sent = nil
	if p, _ := forward(f); p == nil || p.Outcome != problem.NotRun || len(n.sent) != 0 {
		t.Errorf("refusal %+v, sent to %v during the pause", p, n.sent)
	}
	n.errs = nil
	n.clock.Advance(failurePause)
	if p, status := forward(f); p != nil || status != http.StatusOK {
		t.Errorf("after the pause: refusal %+v, status %d", p, status)
	}
}

// TestLinkedPeersComeFirst gives one of eight peers a control link. Every request must go to that peer.
func TestLinkedPeersComeFirst(t *testing.T) {
	n := &fakeNetwork{clock: clockwork.NewFakeClock(), linked: []wire.Hello{{Instance: "b3"}}}
	f := newForwarder(n, 8)
	for range 20 {
		n.sent = nil
		if p, _ := forward(f); p != nil || len(n.sent) != 1 || n.sent[0] != "b3" {
			t.Fatalf("refusal %+v, sent to %v", p, n.sent)
		}
	}
}

// TestLostForwardIsNotRepeated loses the answer of the first peer. The request may have run, so no other peer may get it.
func TestLostForwardIsNotRepeated(t *testing.T) {
	n := &fakeNetwork{clock: clockwork.NewFakeClock(), errs: map[string]error{"b0": errReset, "b1": errReset, "b2": errReset}}
	f := newForwarder(n, 3)
	p, _ := forward(f)
	if p == nil || p.Outcome != problem.Unknown || len(n.sent) != 1 {
		t.Fatalf("refusal %+v, sent to %v", p, n.sent)
	}
	if caller.NeverSent(errReset) {
		t.Error("a lost answer counts as never sent")
	}
}
