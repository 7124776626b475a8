// Package admission admits callers' requests. It assigns request ids, finds the workspace that owns a request's key, and limits the
// requests in flight.
package admission

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

const (
	// defaultMaxConcurrent limits a workspace's requests in flight if the document sets no limit.
	defaultMaxConcurrent = 256
	// overloadRetryAfter is the delay suggested to callers that are refused for overload, or because no document is in force yet.
	overloadRetryAfter = time.Second
)

var (
	refusedKey         = metrics.NewCounter(`entry_refused_total{reason="key"}`)
	refusedConcurrency = metrics.NewCounter(`entry_refused_total{reason="concurrency"}`)
	refusedEntryFull   = metrics.NewCounter(`entry_refused_total{reason="entry_full"}`)
	refusedNoDocument  = metrics.NewCounter(`entry_refused_total{reason="no_document"}`)
)

// Confirmation reports how recently the document in force was confirmed to be the newest.
type Confirmation interface {
	// SinceConfirmed returns the time since the last confirmation.
	SinceConfirmed() time.Duration
}

// Request is an admitted request.
type Request struct {
	ID wire.RequestId
	// Workspace is the caller's workspace. It is empty if the request was admitted on an open route without a valid key.
	Workspace document.Workspace
	// Key is the key that the caller sent. It is empty for a forwarded request.
	Key string
	// Accepted is the document in force when the request was admitted.
	Accepted *document.Accepted
	// Forwarded reports whether a peer admitted the request and forwarded it.
	Forwarded bool
	// Log adds the request's id to every line.
	Log     log.Logger
	release func()
}

// Release ends the request: it no longer counts against the limits. It must be called once.
func (req *Request) Release() {
	req.release()
}

// Gate admits requests.
type Gate struct {
	current      *document.Current
	confirmation Confirmation
	logger       *log.Logger
	maxInFlight  int64
	inFlight     atomic.Int64
	// perWorkspace maps a workspace name to an *atomic.Int64, the number of the workspace's requests in flight.
	perWorkspace sync.Map
}

// NewGate returns a gate that allows at most maxInFlight admitted requests at a time.
func NewGate(current *document.Current, confirmation Confirmation, maxInFlight int, logger *log.Logger) *Gate {
	return &Gate{current: current, confirmation: confirmation, logger: logger, maxInFlight: int64(maxInFlight)}
}

// InFlight returns the number of admitted requests that have not been released.
func (g *Gate) InFlight() int64 {
	return g.inFlight.Load()
}

// Admit admits a caller's request, or returns a refusal. A request without a valid key is admitted without a workspace if open
// reports that the route needs no key under the document in force.
func (g *Gate) Admit(r *http.Request, open func(*document.Accepted) bool) (*Request, *problem.Problem) {
	req, p := g.admitAny(wire.RequestId(uuid.NewString()))
	if p != nil {
		return nil, p
	}
	req.Key = caller.Key(r)
	workspace, found := req.Accepted.Index.KeyIndex().Workspace(document.KeyDigest(req.Key))
	if req.Key == "" || !found || !g.keysValid(workspace) {
		if open(req.Accepted) {
			return req, nil
		}
		req.Release()
		refusedKey.Inc()
		return nil, problem.New(http.StatusUnauthorized, problem.NotRun, "the key is missing or not in force")
	}
	return g.admitTo(req, workspace)
}

// AdmitForwarded admits a request that a peer has admitted and forwarded, or returns a refusal. The peer has checked the key and
// counts the request against the workspace's limit, so only this entry's own limit applies.
func (g *Gate) AdmitForwarded(r *http.Request) (*Request, *problem.Problem) {
	req, p := g.admitAny(wire.RequestId(r.Header.Get(caller.HeaderRequest)))
	if p != nil {
		return nil, p
	}
	req.Forwarded = true
	name := wire.WorkspaceName(r.Header.Get(caller.HeaderWorkspace))
	if name == "" {
		return req, nil
	}
	workspace, found := req.Accepted.Index.WorkspaceNamed(name)
	if !found {
		req.Release()
		return nil, problem.New(http.StatusUnauthorized, problem.NotRun, "the workspace is not in force here")
	}
	req.Workspace = workspace
	return req, nil
}

// admitAny admits a request if a document is in force and this entry is below its limit. It checks neither key nor workspace.
func (g *Gate) admitAny(id wire.RequestId) (*Request, *problem.Problem) {
	accepted := g.current.Load()
	if accepted == nil {
		refusedNoDocument.Inc()
		return nil, problem.New(http.StatusServiceUnavailable, problem.NotRun, "no document is in force").After(overloadRetryAfter)
	}
	if g.inFlight.Add(1) > g.maxInFlight {
		g.inFlight.Add(-1)
		refusedEntryFull.Inc()
		return nil, problem.New(http.StatusServiceUnavailable, problem.NotRun, "this entry is full").After(overloadRetryAfter)
	}
	req := &Request{ID: id, Accepted: accepted, Log: *g.logger}
	req.Log.Context = log.NewContext(append([]byte(nil), g.logger.Context...)).Str("RequestId", string(id)).Value()
	req.release = func() {
		g.inFlight.Add(-1)
	}
	return req, nil
}

// keysValid reports whether the document was confirmed recently enough for the keys of a workspace to be accepted.
func (g *Gate) keysValid(w document.Workspace) bool {
	if w.KeyValidSeconds == 0 {
		return true
	}
	return g.confirmation.SinceConfirmed() <= time.Duration(w.KeyValidSeconds)*time.Second
}

// admitTo counts an admitted request against the limit of its workspace, or releases it and returns a refusal.
func (g *Gate) admitTo(req *Request, w document.Workspace) (*Request, *problem.Problem) {
	limit := int64(w.MaxConcurrent)
	if limit == 0 {
		limit = defaultMaxConcurrent
	}
	counter, _ := g.perWorkspace.LoadOrStore(w.Name, &atomic.Int64{})
	count := counter.(*atomic.Int64)
	if count.Add(1) > limit {
		count.Add(-1)
		req.Release()
		refusedConcurrency.Inc()
		return nil, problem.New(http.StatusTooManyRequests, problem.NotRun,
			"workspace %s has %d requests in progress", w.Name, limit).After(overloadRetryAfter)
	}
	releaseEntry := req.release
	req.release = func() {
		count.Add(-1)
		releaseEntry()
	}
	req.Workspace = w
	return req, nil
}
