// Package visit lets callers' requests in: it names them, finds their workspace and holds them to its limits.
package visit

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/phuslu/log"
)

// Bounds where the document sets none.
const (
	defaultMaxConcurrent = 256
	overloadRetryAfter   = time.Second
)

var (
	refusedKey      = metrics.NewCounter(`entry_refused_total{reason="key"}`)
	refusedLimit    = metrics.NewCounter(`entry_refused_total{reason="concurrency"}`)
	refusedEntry    = metrics.NewCounter(`entry_refused_total{reason="entry_full"}`)
	refusedDocument = metrics.NewCounter(`entry_refused_total{reason="no_document"}`)
)

// Confirmation tells how long it is since the document in force was last confirmed to be the newest.
type Confirmation interface {
	SinceConfirmed() time.Duration
}

// Request is one request that was let in.
type Request struct {
	ID        wire.RequestId
	Workspace document.Workspace
	Key       string
	Accepted  *document.Accepted
	// Forwarded tells that a peer let the request in.
	Forwarded bool
	Log       log.Logger
	leave     func()
}

// Release gives the visit's place back.
func (v *Request) Release() {
	v.leave()
}

// Gate lets requests in.
type Gate struct {
	current *document.Current
	confirm Confirmation
	logger  *log.Logger
	limit   int64
	inside  atomic.Int64
	// counts holds an *atomic.Int64 for each workspace name.
	counts sync.Map
}

// NewGate returns a gate that lets limit requests in at a time.
func NewGate(current *document.Current, confirm Confirmation, limit int, logger *log.Logger) *Gate {
	return &Gate{current: current, confirm: confirm, logger: logger, limit: int64(limit)}
}

// Inside counts the requests inside.
func (g *Gate) Inside() int64 {
	return g.inside.Load()
}

// Admit lets a caller's request in, or returns the refusal. An open request needs no key.
func (g *Gate) Admit(r *http.Request, open func(*document.Accepted) bool) (*Request, *problem.Problem) {
	v, p := g.begin(wire.RequestId(uuid.NewString()))
	if p != nil {
		return nil, p
	}
	v.Key = caller.Key(r)
	workspace, known := v.Accepted.Index.KeyIndex().Workspace(document.KeyDigest(v.Key))
	if v.Key == "" || !known || !g.confirmed(workspace) {
		if open(v.Accepted) {
			return v, nil
		}
		v.Release()
		refusedKey.Inc()
		return nil, problem.New(http.StatusUnauthorized, problem.NotRun, "the key is missing or not in force")
	}
	return g.admit(v, workspace)
}

// AdmitForwarded lets in a request that a peer has let in for a workspace.
func (g *Gate) AdmitForwarded(r *http.Request) (*Request, *problem.Problem) {
	v, p := g.begin(wire.RequestId(r.Header.Get(caller.HeaderRequest)))
	if p != nil {
		return nil, p
	}
	v.Forwarded = true
	name := wire.WorkspaceName(r.Header.Get(caller.HeaderWorkspace))
	if name == "" {
		return v, nil
	}
	workspace, known := v.Accepted.Index.WorkspaceNamed(name)
	if !known {
		v.Release()
		return nil, problem.New(http.StatusUnauthorized, problem.NotRun, "the workspace is not in force here")
	}
	v.Workspace = workspace
	return v, nil
}

func (g *Gate) begin(request wire.RequestId) (*Request, *problem.Problem) {
	accepted := g.current.Load()
	if accepted == nil {
		refusedDocument.Inc()
		return nil, problem.New(http.StatusServiceUnavailable, problem.NotRun, "no document is in force").After(overloadRetryAfter)
	}
	if g.inside.Add(1) > g.limit {
		g.inside.Add(-1)
		refusedEntry.Inc()
		return nil, problem.New(http.StatusServiceUnavailable, problem.NotRun, "this entry is full").After(overloadRetryAfter)
	}
	v := &Request{ID: request, Accepted: accepted, Log: *g.logger}
	v.Log.Context = log.NewContext(append([]byte(nil), g.logger.Context...)).Str("RequestId", string(request)).Value()
	v.leave = func() {
		g.inside.Add(-1)
	}
	return v, nil
}

// confirmed tells whether a workspace's keys are still valid here.
func (g *Gate) confirmed(w document.Workspace) bool {
	if w.KeyValidSeconds == 0 {
		return true
	}
	return g.confirm.SinceConfirmed() <= time.Duration(w.KeyValidSeconds)*time.Second
}

func (g *Gate) admit(v *Request, w document.Workspace) (*Request, *problem.Problem) {
	limit := int64(w.MaxConcurrent)
	if limit == 0 {
		limit = defaultMaxConcurrent
	}
	stored, _ := g.counts.LoadOrStore(w.Name, &atomic.Int64{})
	count := stored.(*atomic.Int64)
	if count.Add(1) > limit {
		count.Add(-1)
		v.Release()
		refusedLimit.Inc()
		return nil, problem.New(http.StatusTooManyRequests, problem.NotRun,
			"workspace %s has %d requests in progress", w.Name, limit).After(overloadRetryAfter)
	}
	inner := v.leave
	v.leave = func() {
		count.Add(-1)
		inner()
	}
	v.Workspace = w
	return v, nil
}
