// Package service sends callers' requests to plain services, that is, to endpoints that are not model engines. Requests on
// routes that are not repeatable run at most once.
package service

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"cowslipshunt.example/entry/admission"
	"cowslipshunt.example/shared/booking"
	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/shared/queue"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
)

// Limits for one request.
const (
	maxBodyBytes = 8 << 20
	maxAttempts  = 3
	retryAfter   = 2 * time.Second
)

var (
	answersPassed    = metrics.NewCounter(`entry_service_total{outcome="passed"}`)
	answersRefused   = metrics.NewCounter(`entry_service_total{outcome="refused"}`)
	answersTruncated = metrics.NewCounter(`entry_service_total{outcome="cut"}`)
	answersFromStore = metrics.NewCounter(`entry_service_total{outcome="stored_answer"}`)
)

// Recorder records the usage for which workspaces are billed.
type Recorder interface {
	// Record records the usage of one request. It returns once a peer or the table has stored the figure, or after a timeout.
	Record(ctx context.Context, f wire.UsageFigure)
}

// Forwarder sends requests to peers in other failure domains.
type Forwarder interface {
	// Forward writes the answer of a peer to w, or returns a problem and writes nothing if it gets no answer. It panics with
	// http.ErrAbortHandler if the answer ends early.
	Forward(w http.ResponseWriter, r *http.Request, admitted *admission.Request, body []byte) *problem.Problem
}

// Limits bounds the phases of a request.
type Limits struct {
	// Body bounds the wait for a request's body.
	Body time.Duration
	// Queue bounds the wait for a slot at an endpoint.
	Queue time.Duration
	// Stall is how long an endpoint may be silent before it is avoided and, for a repeatable request, another one is asked.
	Stall time.Duration
	// Total bounds the wait for the header of an endpoint's response. For a request with a claim it bounds all of the time in the queue
	// and at endpoints, over all attempts.
	Total time.Duration
	// Claim bounds the write of the claim before a request with an Idempotency-Key is sent.
	Claim time.Duration
	// Store bounds the write of a claimed request's final state before the caller gets the answer or the refusal.
	Store time.Duration
}

// Server answers requests to plain services.
type Server struct {
	gate               *admission.Gate
	directory          *endpoint.Directory
	queues             *queue.Set
	claims             *booking.Claims
	recorder           Recorder
	forwarder          Forwarder
	pooledTransport    http.RoundTripper
	singleUseTransport http.RoundTripper
	limits             Limits
	clock              clockwork.Clock

	// forceCtx ends when the process is to stop at once, without waiting for background writes.
	forceCtx context.Context
	// claimWrites counts the background writes of claims.
	claimWrites sync.WaitGroup
}

// NewServer returns a Server that admits requests through gate. Final states of claims that are not yet written when the server
// stops are written until forceCtx ends.
func NewServer(forceCtx context.Context, gate *admission.Gate, directory *endpoint.Directory, queues *queue.Set, claims *booking.Claims, recorder Recorder, forwarder Forwarder, clock clockwork.Clock, limits Limits) *Server {
	return &Server{
		gate:               gate,
		directory:          directory,
		queues:             queues,
		claims:             claims,
		recorder:           recorder,
		forwarder:          forwarder,
		pooledTransport:    caller.NewTransport(limits.Total),
		singleUseTransport: caller.NewSingleUseTransport(limits.Total),
		limits:             limits,
		clock:              clock,
		forceCtx:           forceCtx,
	}
}

// Wait waits until every background write of a claim has succeeded or been abandoned.
func (s *Server) Wait() {
	s.claimWrites.Wait()
}

// call is one request to a plain service.
type call struct {
	admitted *admission.Request
	service  wire.ServiceName
	route    document.Route
	path     string
	body     []byte
	r        *http.Request
	// ctx bounds the time in the queue and at endpoints. It is the caller's context, or for a claimed request one that outlives it.
	ctx context.Context
}

// ServeHTTP answers requests to /services/{service}/….
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	service, path := splitPath(r)
	admitted, p := s.gate.Admit(r, func(a *document.Accepted) bool {
		return a.Index.RouteFor(service, r.Method, path).Open
	})
	if p != nil {
		p.Write(w)
		return
	}
	s.serve(w, r, admitted, service, path)
}

// ServeForwarded answers a request that a peer admitted and forwarded.
func (s *Server) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	admitted, p := s.gate.AdmitForwarded(r)
	if p != nil {
		p.Write(w)
		return
	}
	service, path := splitPath(r)
	s.serve(w, r, admitted, service, path)
}

// splitPath returns the service that the request names and the path at that service.
func splitPath(r *http.Request) (wire.ServiceName, string) {
	_, rest, _ := strings.Cut(r.URL.Path, "/services/")
	service, path, _ := strings.Cut(rest, "/")
	return wire.ServiceName(service), "/" + path
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, admitted *admission.Request, service wire.ServiceName, path string) {
	defer admitted.Release()
	w.Header().Set(caller.HeaderRequest, string(admitted.ID))
	c := &call{admitted: admitted, service: service, path: path, r: r, ctx: r.Context(), route: admitted.Accepted.Index.RouteFor(service, r.Method, path)}
	if p := s.handle(w, c); p != nil {
		p.Request = admitted.ID
		answersRefused.Inc()
		admitted.Log.Info().Str("Service", c.loggableService()).Int("Status", p.Status).Str("Outcome", string(p.Outcome)).Str("Detail", p.Detail).Msg("service request refused")
		p.Write(w)
	}
}

func (s *Server) handle(w http.ResponseWriter, c *call) *problem.Problem {
	if p := c.validate(); p != nil {
		return p
	}
	body, p := caller.ReadBody(w, c.r, maxBodyBytes, s.limits.Body)
	if p != nil {
		return p
	}
	if caller.ContainsKey(string(body), c.admitted.Key) {
		return problem.New(http.StatusBadRequest, problem.NotRun, "the body holds the key")
	}
	c.body = body
	if c.needsClaim() && !c.admitted.Forwarded {
		return s.handleClaimed(w, c)
	}
	return s.handleUnclaimed(w, c)
}

// loggableService returns the name of the service, or an empty string if the name contains the caller's key, which must not be
// logged.
func (c *call) loggableService() string {
	if caller.ContainsKey(string(c.service), c.admitted.Key) {
		return ""
	}
	return string(c.service)
}

// validate returns a refusal if the request must not be sent to an endpoint. It rejects a path that contains the key first, as
// the text of later refusals contains the name of the service.
func (c *call) validate() *problem.Problem {
	if caller.ContainsKey(c.r.URL.Path, c.admitted.Key) {
		return problem.New(http.StatusBadRequest, problem.NotRun, "the path holds the key")
	}
	if !c.permitted() {
		return problem.New(http.StatusNotFound, problem.NotRun, "service %q is not in force for this workspace", c.service)
	}
	if !document.IsCanonicalPath(c.path) || strings.Contains(strings.ToLower(c.r.URL.RawPath), "%2f") {
		return problem.New(http.StatusBadRequest, problem.NotRun, "the path has empty or dot segments, or an encoded slash")
	}
	return nil
}

// permitted reports whether the route is open to everybody or the workspace may use the service.
func (c *call) permitted() bool {
	if c.route.Open {
		return true
	}
	for _, name := range c.admitted.Workspace.Services {
		if name == c.service {
			return true
		}
	}
	return false
}

// needsClaim reports whether the request needs a claim: the route is not repeatable, and the Idempotency-Key shows that the caller
// may send the request again.
func (c *call) needsClaim() bool {
	return !c.route.Repeatable && c.r.Header.Get(caller.HeaderIdempotency) != ""
}

// handleUnclaimed handles a request that needs no claim, or whose claim the forwarding peer holds.
func (s *Server) handleUnclaimed(w http.ResponseWriter, c *call) *problem.Problem {
	if s.mustForward(c) {
		return s.forwarder.Forward(w, c.r, c.admitted, c.body)
	}
	resp, slot, p := s.send(c)
	if p != nil {
		return p
	}
	defer s.wakeQueue(c)
	defer slot.Release()
	defer resp.Body.Close()
	s.record(c.r.Context(), c)
	s.copyResponse(w, c, resp)
	return nil
}

// mustForward reports whether the request has to be served in another failure domain, as this one has no eligible endpoint. A
// request that a peer forwarded is not forwarded again.
func (s *Server) mustForward(c *call) bool {
	return !c.admitted.Forwarded && endpoint.CountEligible(s.directory.View().Service(c.service), c.need()) == 0
}

// need returns which endpoints are eligible for the request. Cheap endpoints get only repeatable requests.
func (c *call) need() endpoint.Need {
	return endpoint.Need{ExcludeCheap: !c.route.Repeatable}
}

// record records the usage of a request. Requests without a workspace, on open routes, are not billed.
func (s *Server) record(ctx context.Context, c *call) {
	if c.admitted.Workspace.Name == "" {
		return
	}
	s.recorder.Record(ctx, wire.UsageFigure{
		Workspace: c.admitted.Workspace.Name,
		Model:     wire.ModelName(c.service),
		Requests:  1,
		Cost:      c.route.Price,
	})
}
