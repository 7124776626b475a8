package route

import (
	"slices"
	"strings"
	"time"

	"cowslipshunt.example/wire"
)

// Table is one accepted configuration. It is immutable.
type Table struct {
	Version  Version
	Limits   Limits
	Services map[wire.ServiceName]*Service

	hosts map[string][]*Route
	keys  map[string]*Workspace
}

// NewTable returns the table of a configuration with the given routes, services and the workspace that holds each key.
func NewTable(v Version, routes []*Route, services []*Service, keys map[string]*Workspace, limits Limits) *Table {
	t := &Table{
		Version:  v,
		Limits:   limits,
		Services: map[wire.ServiceName]*Service{},
		hosts:    map[string][]*Route{},
		keys:     keys,
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	t.markContended(routes)
	return t
}

// markContended sets Contended of the services.
func (t *Table) markContended(routes []*Route) {
	limited := false
	for _, w := range t.keys {
		limited = limited || w.Quota.Limited()
	}
	for _, s := range t.Services {
		s.Contended = s.Engine != nil && (limited || goalsDiffer(routes, s.Name))
	}
}

// goalsDiffer reports whether the objectives of the streaming routes that lead to a service differ by contendedGoalRatio.
func goalsDiffer(routes []*Route, name wire.ServiceName) bool {
	shortest, longest := time.Duration(0), time.Duration(0)
	for _, r := range routes {
		if r.Kind != Stream || r.Goal <= 0 || !slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == name }) {
			continue
		}
		if shortest == 0 || r.Goal < shortest {
			shortest = r.Goal
		}
		longest = max(longest, r.Goal)
	}
	return shortest > 0 && longest >= contendedGoalRatio*shortest
}

// Find returns the route of a host that has the longest matching prefix of the path, or nil. The host may have a port and be in
// upper case.
func (t *Table) Find(host, path string) *Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// WorkspaceForKey returns the workspace that holds a key, or nil.
func (t *Table) WorkspaceForKey(key string) *Workspace {
	return t.keys[key]
}

// WorkspaceNamed returns the workspace with a name that holds a key, or nil.
func (t *Table) WorkspaceNamed(name wire.WorkspaceName) *Workspace {
	for _, w := range t.keys {
		if w.Name == name {
			return w
		}
	}
	return nil
}

// Routes returns the number of routes.
func (t *Table) Routes() int {
	n := 0
	for _, list := range t.hosts {
		n += len(list)
	}
	return n
}

// Quotas returns the quotas of the workspaces that have a limit.
func (t *Table) Quotas() map[wire.WorkspaceName]Quota {
	quotas := map[wire.WorkspaceName]Quota{}
	for _, w := range t.keys {
		if w.Quota.Limited() {
			quotas[w.Name] = w.Quota
		}
	}
	return quotas
}
