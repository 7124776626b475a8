package quota

import (
	"cmp"
	"slices"
	"time"

	"cowslipshunt.example/wire"
)

// Grant is what a request has taken from the quota of its workspace.
type Grant struct {
	manager   *Manager
	workspace wire.WorkspaceName
	cost      Cost
	given     time.Time
}

// Expired reports whether the grant is too old to send a request by it: the instance may have been suspended since.
func (g *Grant) Expired() bool {
	return g.manager.now().Sub(g.given) > grantLife
}

// Again takes the cost once more, for another send of the request. That is not refused: the retry budget bounds such sends.
func (g *Grant) Again() {
	g.spend(g.cost.Amount)
}

// Refund gives the cost back for a number of sends that no endpoint has run.
func (g *Grant) Refund(sends int) {
	if sends > 0 {
		g.spend(-g.cost.Amount * float64(sends))
	}
}

func (g *Grant) spend(amount float64) {
	m := g.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	if a := m.accounts[g.workspace]; a != nil && a.quota.Unit == g.cost.Unit {
		a.spend(amount)
		a.spentAll += amount
	}
}

// Usage is what an instance knows of a workspace's quota.
type Usage struct {
	Workspace wire.WorkspaceName
	// Rate and Burst are the limit; Level is the last known level of the bucket.
	Rate, Burst, Level float64
	// Spent is what this instance's requests have cost, Refused how many were refused.
	Spent   float64
	Refused uint64
	// Local is how many requests were decided on without the coordinator, which did not answer; Coordinator is its address.
	Local       uint64
	Coordinator string
}

// Usage returns the state of the workspaces with a quota, by name.
func (m *Manager) Usage() []Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Usage, 0, len(m.quotas))
	for name, q := range m.quotas {
		u := Usage{Workspace: name, Rate: q.Rate, Burst: q.Burst}
		if a := m.accounts[name]; a != nil {
			u.Level, u.Spent, u.Refused, u.Local, u.Coordinator = a.level, a.spentAll, a.refused, a.decidedLocally, a.coordinator
		}
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b Usage) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return list
}
