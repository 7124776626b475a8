// Package service passes requests on to plain services, those that may not be repeated at most once.
package service

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"cowslipshunt.example/entry/visit"
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

// Bounds of one request.
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

// Recorder bills requests.
type Recorder interface {
	// Record bills a request once and returns when a peer or the table holds the figure, or when that takes too long.
	Record(ctx context.Context, f wire.UsageFigure)
}

// Forwarder sends a request to a peer in a failure domain that can serve it.
type Forwarder interface {
	// Forward answers the request, or tells that no peer could take it and nothing was written.
	Forward(w http.ResponseWriter, r *http.Request, v *visit.Request, body []byte) *problem.Problem
}

// Limits are the times that a request may take.
type Limits struct {
	// Body bounds the wait for a request's body.
	Body time.Duration
	// Queue bounds the wait for a slot.
	Queue time.Duration
	// Answer bounds the wait for an endpoint's answer to begin.
	Answer time.Duration
	// Whole bounds the exchange with an endpoint for a claimed request.
	Whole time.Duration
	// Claim bounds the wait for the table before a request with an Idempotency-Key is sent.
	Claim time.Duration
	// Store bounds the wait for the table before such a request's answer is given.
	Store time.Duration
}

// Server passes requests on to plain services.
type Server struct {
	gate            *visit.Gate
	directory       *endpoint.Directory
	queues          *queue.Set
	claims          *booking.Claims
	recorder        Recorder
	forwarder       Forwarder
	pooledTransport http.RoundTripper
	onceTransport   http.RoundTripper
	limits          Limits
	clock           clockwork.Clock

	hardStop    context.Context
	claimWrites sync.WaitGroup
}

// NewServer returns a server of plain services. Claims that are still open when it stops are written until hard ends.
func NewServer(hard context.Context, gate *visit.Gate, directory *endpoint.Directory, queues *queue.Set, claims *booking.Claims, recorder Recorder, forwarder Forwarder, clock clockwork.Clock, limits Limits) *Server {
	return &Server{
		gate:            gate,
		directory:       directory,
		queues:          queues,
		claims:          claims,
		recorder:        recorder,
		forwarder:       forwarder,
		pooledTransport: caller.NewTransport(limits.Answer),
		onceTransport:   caller.NewOnceTransport(limits.Answer),
		limits:          limits,
		clock:           clock,
		hardStop:        hard,
	}
}

// Wait returns when the last state of every claim is written or given up.
func (s *Server) Wait() {
	s.claimWrites.Wait()
}

// call is one request to a plain service.
type call struct {
	visit   *visit.Request
	service wire.ServiceName
	route   document.Route
	path    string
	body    []byte
	r       *http.Request
	// ctx bounds the exchange with the endpoint.
	ctx context.Context
}

// ServeHTTP answers /services/{service}/….
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	service, path := splitPath(r)
	v, p := s.gate.Admit(r, func(a *document.Accepted) bool {
		return a.Index.RouteFor(service, r.Method, path).Open
	})
	if p != nil {
		p.Write(w)
		return
	}
	s.serve(w, r, v, service, path)
}

// ServeForwarded answers a request that a peer let in.
func (s *Server) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	v, p := s.gate.AdmitForwarded(r)
	if p != nil {
		p.Write(w)
		return
	}
	service, path := splitPath(r)
	s.serve(w, r, v, service, path)
}

// splitPath returns the service and the path behind it.
func splitPath(r *http.Request) (wire.ServiceName, string) {
	_, rest, _ := strings.Cut(r.URL.Path, "/services/")
	service, path, _ := strings.Cut(rest, "/")
	return wire.ServiceName(service), "/" + path
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, v *visit.Request, service wire.ServiceName, path string) {
	defer v.Release()
	w.Header().Set(caller.HeaderRequest, string(v.ID))
	c := &call{visit: v, service: service, path: path, r: r, ctx: r.Context(), route: v.Accepted.Index.RouteFor(service, r.Method, path)}
	if p := s.handle(w, c); p != nil {
		p.Request = v.ID
		answersRefused.Inc()
		v.Log.Info().Str("Service", c.loggableService()).Int("Status", p.Status).Str("Outcome", string(p.Outcome)).Str("Detail", p.Detail).Msg("service request refused")
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
	if caller.Holds(string(body), c.visit.Key) {
		return problem.New(http.StatusBadRequest, problem.NotRun, "the body holds the key")
	}
	c.body = body
	if c.needsClaim() && !c.visit.Forwarded {
		return s.handleClaimed(w, c)
	}
	return s.handleUnclaimed(w, c)
}

// loggableService returns the service's name for logs. A caller may have put the key in its place.
func (c *call) loggableService() string {
	if caller.Holds(string(c.service), c.visit.Key) {
		return ""
	}
	return string(c.service)
}

// validate refuses what must not be sent on. A path with the key is refused first, as later refusals name the service.
func (c *call) validate() *problem.Problem {
	if caller.Holds(c.r.URL.Path, c.visit.Key) {
		return problem.New(http.StatusBadRequest, problem.NotRun, "the path holds the key")
	}
	if !c.permitted() {
		return problem.New(http.StatusNotFound, problem.NotRun, "service %q is not in force for this workspace", c.service)
	}
	if !document.PlainPath(c.path) || strings.Contains(strings.ToLower(c.r.URL.RawPath), "%2f") {
		return problem.New(http.StatusBadRequest, problem.NotRun, "the path has empty or dot segments, or an encoded slash")
	}
	return nil
}

func (c *call) permitted() bool {
	if c.route.Open {
		return true
	}
	for _, name := range c.visit.Workspace.Services {
		if name == c.service {
			return true
		}
	}
	return false
}

// needsClaim tells whether the request needs a claim: it may not be repeated and its caller may send it again.
func (c *call) needsClaim() bool {
	return !c.route.Repeatable && c.r.Header.Get(caller.HeaderIdempotency) != ""
}

// handleUnclaimed passes a request on that no claim guards.
func (s *Server) handleUnclaimed(w http.ResponseWriter, c *call) *problem.Problem {
	if s.mustForward(c) {
		return s.forwarder.Forward(w, c.r, c.visit, c.body)
	}
	answer, e, p := s.send(c)
	if p != nil {
		return p
	}
	defer s.wakeQueue(c)
	defer e.Release()
	defer answer.Body.Close()
	s.record(c.r.Context(), c)
	s.copyResponse(w, c, answer)
	return nil
}

// mustForward tells whether another failure domain has to serve the request.
func (s *Server) mustForward(c *call) bool {
	return !c.visit.Forwarded && endpoint.Suited(s.directory.View().Service(c.service), c.need()) == 0
}

func (c *call) need() endpoint.Need {
	return endpoint.Need{Steady: !c.route.Repeatable}
}

func (s *Server) record(ctx context.Context, c *call) {
	if c.visit.Workspace.Name == "" {
		return
	}
	s.recorder.Record(ctx, wire.UsageFigure{
		Workspace: c.visit.Workspace.Name,
		Model:     wire.ModelName(c.service),
		Requests:  1,
		Cost:      c.route.Price,
	})
}
