package document

import "cowslipshunt.example/wire"

// Index looks up the parts of one document by name. It is safe for concurrent use; the document must not be modified after
// NewIndex.
type Index struct {
	document   *Document
	models     map[wire.ModelName]Model
	kinds      map[wire.EndpointKindName]EndpointKind
	workspaces map[wire.WorkspaceName]Workspace
	routes     map[wire.ServiceName][]Route
	keys       KeyIndex
}

// KeyIndex maps the digests of API keys to their workspaces.
type KeyIndex struct {
	workspaces map[wire.Digest]Workspace
}

// NewIndex returns an index of a document that Parse returned.
func NewIndex(d *Document) *Index {
	x := &Index{
		document:   d,
		models:     make(map[wire.ModelName]Model, len(d.Model)),
		kinds:      make(map[wire.EndpointKindName]EndpointKind, len(d.EndpointKind)),
		workspaces: make(map[wire.WorkspaceName]Workspace, len(d.Workspace)),
		routes:     map[wire.ServiceName][]Route{},
		keys:       KeyIndex{workspaces: map[wire.Digest]Workspace{}},
	}
	for _, m := range d.Model {
		x.models[m.Name] = m
	}
	for _, k := range d.EndpointKind {
		x.kinds[k.Name] = k
	}
	for _, r := range d.Route {
		x.routes[r.Service] = append(x.routes[r.Service], r)
	}
	x.addWorkspaces(d.Workspace)
	return x
}

func (x *Index) addWorkspaces(list []Workspace) {
	for _, w := range list {
		x.workspaces[w.Name] = w
		for _, k := range w.Key {
			x.keys.workspaces[k.Digest] = w
		}
	}
}

// Document returns the indexed document, which must not be modified.
func (x *Index) Document() *Document {
	return x.document
}

// ModelNamed returns the model with a name and whether it exists.
func (x *Index) ModelNamed(name wire.ModelName) (Model, bool) {
	m, ok := x.models[name]
	return m, ok
}

// KindNamed returns the endpoint kind with a name and whether it exists.
func (x *Index) KindNamed(name wire.EndpointKindName) (EndpointKind, bool) {
	k, ok := x.kinds[name]
	return k, ok
}

// WorkspaceNamed returns the workspace with a name and whether it exists.
func (x *Index) WorkspaceNamed(name wire.WorkspaceName) (Workspace, bool) {
	w, ok := x.workspaces[name]
	return w, ok
}

// KeyIndex returns the index of the keys of all workspaces.
func (x *Index) KeyIndex() KeyIndex {
	return x.keys
}

// Workspace returns the workspace that a key's digest belongs to and whether there is one.
func (k KeyIndex) Workspace(d wire.Digest) (Workspace, bool) {
	w, ok := k.workspaces[d]
	return w, ok
}

// Len returns the number of keys.
func (k KeyIndex) Len() int {
	return len(k.workspaces)
}
