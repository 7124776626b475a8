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

// NewTable returns the table of a configuration's routes, services and the workspaces that hold each key.
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

// Find returns the route of a host whose prefix is the longest that begins the path, or nil.
func (t *Table) Find(host, path string) *Route {
	host = strings.ToLower(host)
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Holder returns the workspace that holds a key, or nil.
func (t *Table) Holder(key string) *Workspace {
	return t.keys[key]
}

// Routes counts the routes.
func (t *Table) Routes() int {
	n := 0
	for _, list := range t.hosts {
		n += len(list)
	}
	return n
}
