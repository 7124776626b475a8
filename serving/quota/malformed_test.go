package quota_test

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/quota"
	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// scripted is the network of an instance whose only peer is played by the test.
type scripted struct {
	peer membership.Peer
	sent func(p *quota.Packet)
}

func (n *scripted) Instances() []membership.Peer         { return []membership.Peer{n.peer} }
func (n *scripted) Send(address string, p *quota.Packet) { n.sent(p) }

// newScripted returns the manager of an instance with one peer in its domain, and a workspace of which the instance is the coordinator if leads
// is set, and the peer otherwise.
func newScripted(leads bool, sent func(p *quota.Packet)) (*quota.Manager, wire.WorkspaceName) {
	self, peer := membership.Peer{Address: "10.0.0.1:1", Domain: "a"}, membership.Peer{Address: "10.0.0.2:1", Domain: "a"}
	m := quota.New(self, "self", &scripted{peer, sent}, clockwork.NewRealClock(), window)
	quotas := map[wire.WorkspaceName]route.Quota{}
	for _, name := range []wire.WorkspaceName{"u", "v", "w", "x", "y", "z"} {
		quotas[name] = large
	}
	m.SetQuotas(quotas)
	for range 60 {
		m.Tick()
		time.Sleep(quota.TickInterval)
	}
	for _, u := range m.Usage() {
		if (u.Coordinator == self.Address) == leads {
			return m, u.Workspace
		}
	}
	panic("one instance is the coordinator of all workspaces")
}

// TestMalformedNumbersAreIgnored guards against a datagram with an infinite cost, after which the bucket of a workspace stays empty for good,
// and against an answer whose share is no number, after which an instance without a coordinator runs every request.
func TestMalformedNumbersAreIgnored(t *testing.T) {
	malformed := []float64{math.NaN(), math.Inf(1), math.Inf(-1)}
	synctest.Test(t, func(t *testing.T) {
		m, w := newScripted(true, func(*quota.Packet) {})
		for i, x := range append(malformed, math.MaxFloat64, -1) {
			m.Receive(&quota.Packet{From: "10.0.0.2:1", Incarnation: "peer", Domain: "a", Asks: []quota.Ask{{Number: uint64(i + 1), Workspace: w, Cost: x}}})
		}
		for i, x := range append(malformed, math.MaxFloat64) {
			m.Receive(&quota.Packet{From: "10.0.0.2:1", Incarnation: "peer", Domain: "a", Reports: []quota.Report{{Workspace: w, Term: 1, Sequence: uint64(i + 1), Spent: x}}})
		}
		if _, err := m.Take(context.Background(), &route.Workspace{Name: w, Quota: large}, quota.Cost{Unit: route.Tokens, Amount: 1000}); err != nil {
			t.Errorf("a request within the quota got %v", err)
		}
	})
	for _, x := range malformed {
		synctest.Test(t, func(t *testing.T) {
			var m *quota.Manager
			answer := func(p *quota.Packet) {
				for _, a := range p.Asks {
					go m.Receive(&quota.Packet{From: "10.0.0.2:1", Incarnation: "peer", Domain: "a", Answers: []quota.Answer{{Number: a.Number, Workspace: a.Workspace, Granted: true, Level: 1e5, Share: x}}})
				}
			}
			sent := func(*quota.Packet) {}
			var w wire.WorkspaceName
			m, w = newScripted(false, func(p *quota.Packet) { sent(p) })
			take := func() error {
				_, err := m.Take(context.Background(), &route.Workspace{Name: w, Quota: large}, quota.Cost{Unit: route.Tokens, Amount: 1e6})
				return err
			}
			sent = answer
			_ = take()
			sent = func(*quota.Packet) {}
			refused := 0
			for range 10 {
				if take() != nil {
					refused++
				}
			}
			if refused == 0 {
				t.Errorf("none of 10 requests of a second's quota was refused after an answer with the share %v", x)
			}
		})
	}
}

// TestIdleInstanceKeepsItsShare guards against an instance that lowers its share at once when its coordinator falls silent, as it has not been
// answered while it had no requests.
func TestIdleInstanceKeepsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m *quota.Manager
		var w wire.WorkspaceName
		answers := true
		m, w = newScripted(false, func(p *quota.Packet) {
			for _, a := range p.Asks {
				if answers {
					go m.Receive(&quota.Packet{From: "10.0.0.2:1", Incarnation: "peer", Domain: "a", Answers: []quota.Answer{{Number: a.Number, Workspace: a.Workspace, Granted: true, Level: large.Burst, Share: 1}}})
				}
			}
		})
		for i := range 3 {
			if _, err := m.Take(context.Background(), &route.Workspace{Name: w, Quota: large}, quota.Cost{Unit: route.Tokens, Amount: 1e6}); err != nil {
				t.Errorf("request %d got %v", i+1, err)
			}
			if answers {
				answers = false
				time.Sleep(5 * time.Second)
			}
		}
	})
}
