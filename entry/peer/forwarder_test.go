package peer

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cowslipshunt.example/entry/visit"
	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
)

// network answers for peers by address and counts what was sent to each.
type network struct {
	clock *clockwork.FakeClock
	// errs are how sending to an address fails; others answer 200.
	errs map[string]error
	sent []string
	// linked are the peers with a control link.
	linked []wire.Hello
}

var (
	errBlackHole = &net.OpError{Op: "dial", Err: errors.New("timeout")}
	errLost      = &net.OpError{Op: "read", Err: errors.New("reset")}
)

// RoundTrip answers, or fails as the address does; a black hole costs the whole time of a dial.
func (n *network) RoundTrip(r *http.Request) (*http.Response, error) {
	n.sent = append(n.sent, r.URL.Host)
	err := n.errs[r.URL.Host]
	if errors.Is(err, errBlackHole) {
		n.clock.Advance(dialTimeout)
	}
	if err != nil {
		return nil, err
	}
	answer := httptest.NewRecorder()
	answer.WriteHeader(http.StatusOK)
	return answer.Result(), nil
}

// Links returns the peers with a control link.
func (n *network) Links() []wire.Hello {
	return n.linked
}

func newForwarder(n *network, peers int) *Forwarder {
	var list []Address
	for i := range peers {
		name := fmt.Sprintf("b%d", i)
		list = append(list, Address{Instance: wire.InstanceName(name), Domain: "b", Address: name})
	}
	f := NewForwarder(wire.Hello{Instance: "a0", Domain: "a"}, list, "", n, n.clock, time.Second)
	f.transport = n
	return f
}

func forward(f *Forwarder) (*problem.Problem, int) {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/services/booking/bookings", nil)
	p := f.Forward(w, r, &visit.Request{ID: "r", Log: log.Logger{}}, []byte("{}"))
	return p, w.Code
}

// TestBlackHoledDomainCostsLittle sends requests while every peer swallows connections.
func TestBlackHoledDomainCostsLittle(t *testing.T) {
	n := &network{clock: clockwork.NewFakeClock(), errs: map[string]error{}}
	f := newForwarder(n, 8)
	for _, p := range f.peers {
		n.errs[p.Address] = errBlackHole
	}
	began := n.clock.Now()
	p, _ := forward(f)
	if p == nil || p.Outcome != problem.NotRun {
		t.Fatalf("refusal %+v", p)
	}
	if spent := n.clock.Since(began); spent > maxUnreachableTime {
		t.Errorf("the request lost %v to peers out of reach, more than %v", spent, maxUnreachableTime)
	}
}

// TestFailedPeersRest sends a request right after one that found every peer out of reach, and another once they are back.
func TestFailedPeersRest(t *testing.T) {
	n := &network{clock: clockwork.NewFakeClock(), errs: map[string]error{"b0": errBlackHole, "b1": errBlackHole}}
	f := newForwarder(n, 2)
	forward(f)
	n.sent = nil
	if p, _ := forward(f); p == nil || p.Outcome != problem.NotRun || len(n.sent) != 0 {
		t.Errorf("refusal %+v, sent to %v at once again", p, n.sent)
	}
	n.errs = nil
	n.clock.Advance(failurePause)
	if p, status := forward(f); p != nil || status != http.StatusOK {
		t.Errorf("after healing: %+v, status %d", p, status)
	}
}

// TestLinkedPeersComeFirst lets one peer of many have a control link.
func TestLinkedPeersComeFirst(t *testing.T) {
	n := &network{clock: clockwork.NewFakeClock(), linked: []wire.Hello{{Instance: "b3"}}}
	f := newForwarder(n, 8)
	for range 20 {
		n.sent = nil
		if p, _ := forward(f); p != nil || len(n.sent) != 1 || n.sent[0] != "b3" {
			t.Fatalf("refusal %+v, sent to %v", p, n.sent)
		}
	}
}

// TestLostForwardIsNotRepeated loses the answer of the first peer: nobody knows whether it ran.
func TestLostForwardIsNotRepeated(t *testing.T) {
	n := &network{clock: clockwork.NewFakeClock(), errs: map[string]error{"b0": errLost, "b1": errLost, "b2": errLost}}
	f := newForwarder(n, 3)
	p, _ := forward(f)
	if p == nil || p.Outcome != problem.Unknown || len(n.sent) != 1 {
		t.Fatalf("refusal %+v, sent to %v", p, n.sent)
	}
	if caller.NeverSent(errLost) {
		t.Error("a lost answer counts as never sent")
	}
}
