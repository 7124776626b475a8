package route

import (
	"slices"
	"strings"

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
	return t
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

// Routes returns the number of routes.
func (t *Table) Routes() int {
	n := 0
	for _, list := range t.hosts {
		n += len(list)
	}
	return n
}
