package quota_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/quota"
	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// benchNetwork is the network of a Manager whose peers never answer.
type benchNetwork struct {
	peers         []membership.Peer
	packets, sent int
}

func (n *benchNetwork) Instances() []membership.Peer {
	return append([]membership.Peer(nil), n.peers...)
}

func (n *benchNetwork) Send(_ string, p *quota.Packet) {
	n.packets++
	n.sent += len(p.Asks) + len(p.Answers) + len(p.Reports) + len(p.Totals)
}

// benchManager returns a manager of a fleet in 4 domains, with quotas for a number of workspaces.
func benchManager(instances, workspaces int) (*quota.Manager, *benchNetwork, *clockwork.FakeClock, map[wire.WorkspaceName]route.Quota) {
	n := &benchNetwork{}
	for i := range instances - 1 {
		n.peers = append(n.peers, membership.Peer{Address: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200+1), Domain: wire.DomainName(rune('a' + (i+1)%4))})
	}
	clock := clockwork.NewFakeClock()
	m := quota.New(membership.Peer{Address: "10.1.0.1:1", Domain: "a"}, "i", n, clock, window)
	quotas := map[wire.WorkspaceName]route.Quota{}
	for i := range workspaces {
		quotas[wire.WorkspaceName(fmt.Sprintf("workspace-%d", i))] = large
	}
	m.SetQuotas(quotas)
	for range 60 {
		m.Tick()
		clock.Advance(quota.TickInterval)
	}
	return m, n, clock, quotas
}

// BenchmarkTake measures a request whose instance is the coordinator.
func BenchmarkTake(b *testing.B) {
	m, _, clock, _ := benchManager(1, 16)
	w := &route.Workspace{Name: "workspace-3", Quota: large}
	b.ReportAllocs()
	for b.Loop() {
		clock.Advance(time.Microsecond)
		if _, err := m.Take(context.Background(), w, quota.Cost{Unit: route.Tokens, Amount: 1}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkReceiveAsk measures an ask that a coordinator answers.
func BenchmarkReceiveAsk(b *testing.B) {
	m, _, clock, _ := benchManager(1, 16)
	n := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		n++
		clock.Advance(time.Millisecond)
		if n%100 == 0 {
			m.Tick()
		}
		m.Receive(&quota.Packet{From: "10.0.0.9:1", Incarnation: "j", Domain: "a", Asks: []quota.Ask{{Number: n, Workspace: "workspace-3", Cost: 100}}})
	}
}

// BenchmarkTick measures what an instance does every TickInterval at rest.
func BenchmarkTick(b *testing.B) {
	for _, instances := range []int{8, 80, 400} {
		for _, workspaces := range []int{16, 90} {
			b.Run(fmt.Sprintf("instances=%d/workspaces=%d", instances, workspaces), func(b *testing.B) {
				m, n, clock, _ := benchManager(instances, workspaces)
				n.packets, n.sent = 0, 0
				b.ReportAllocs()
				for b.Loop() {
					clock.Advance(quota.TickInterval)
					m.Tick()
				}
				b.ReportMetric(float64(n.packets)/float64(b.N), "packets/op")
				b.ReportMetric(float64(n.sent)/float64(b.N), "items/op")
			})
		}
	}
}
