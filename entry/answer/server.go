package answer

import (
	"context"
	"net/http"
	"time"

	"cowslipshunt.example/entry/visit"
	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/shared/queue"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// Bounds of one request.
const (
	maxAttempts = 4
	maxBody     = 8 << 20
	pauseAtMost = 50 * time.Millisecond
	retryAfter  = 2 * time.Second
)

// Bounds of all retries of one entry.
const (
	retriesPerSecond = 20
	retryBurst       = 200
)

var (
	answersWhole = metrics.NewCounter(`entry_answers_total{outcome="whole"}`)
	answersCut   = metrics.NewCounter(`entry_answers_total{outcome="cut"}`)
	answersGone  = metrics.NewCounter(`entry_answers_total{outcome="caller_gone"}`)
	answersNone  = metrics.NewCounter(`entry_answers_total{outcome="refused"}`)
	retries      = metrics.NewCounter("entry_retries_total")
	retriesSpent = metrics.NewCounter("entry_retry_budget_spent_total")
	firstToken   = metrics.NewHistogram("entry_first_token_seconds")
)

// Recorder bills requests.
type Recorder interface {
	// Record bills a request once and returns when a peer or the table holds the figure, or when that takes too long.
	Record(ctx context.Context, f wire.UsageFigure)
}

// Forwarder sends a request to a peer in a failure domain that can serve it.
type Forwarder interface {
	// Forward answers the request, or tells that no peer could take it and nothing was written.
	Forward(w http.ResponseWriter, r *http.Request, v *visit.Visit, body []byte) *problem.Problem
}

// Server answers model requests.
type Server struct {
	gate      *visit.Gate
	directory *endpoint.Directory
	queues    *queue.Set
	recorder  Recorder
	forwarder Forwarder
	engines   http.RoundTripper
	budget    *rate.Limiter
	limits    Limits
	clock     clockwork.Clock
}

// Limits are the times that a request may take.
type Limits struct {
	// Body bounds the wait for a request's body.
	Body time.Duration
	// Queue bounds the wait for a slot.
	Queue time.Duration
	// Stall bounds the time between two events of an engine.
	Stall time.Duration
	// Whole bounds the whole request.
	Whole time.Duration
}

// NewServer returns a server of model requests.
func NewServer(gate *visit.Gate, directory *endpoint.Directory, queues *queue.Set, recorder Recorder, forwarder Forwarder, clock clockwork.Clock, limits Limits) *Server {
	return &Server{
		gate:      gate,
		directory: directory,
		queues:    queues,
		recorder:  recorder,
		forwarder: forwarder,
		engines:   caller.NewTransport(limits.Stall),
		budget:    rate.NewLimiter(retriesPerSecond, retryBurst),
		limits:    limits,
		clock:     clock,
	}
}

// ServeChat answers POST /v1/chat/completions.
func (s *Server) ServeChat(w http.ResponseWriter, r *http.Request) {
	s.serveCaller(w, r, true)
}

// ServeCompletion answers POST /v1/completions.
func (s *Server) ServeCompletion(w http.ResponseWriter, r *http.Request) {
	s.serveCaller(w, r, false)
}

func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request, chat bool) {
	v, p := s.gate.Enter(r, func(*document.Accepted) bool { return false })
	if p != nil {
		p.Write(w)
		return
	}
	s.serve(w, r, v, chat)
}

// ServeForwarded answers a model request that a peer let in.
func (s *Server) ServeForwarded(w http.ResponseWriter, r *http.Request, chat bool) {
	v, p := s.gate.EnterForwarded(r)
	if p != nil {
		p.Write(w)
		return
	}
	s.serve(w, r, v, chat)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, v *visit.Visit, chat bool) {
	defer v.Leave()
	w.Header().Set(caller.HeaderRequest, string(v.Request))
	if p := s.answer(w, r, v, chat); p != nil {
		p.Request = v.Request
		answersNone.Inc()
		v.Log.Info().Str("Workspace", string(v.Workspace.Name)).Int("Status", p.Status).Str("Outcome", string(p.Outcome)).Str("Detail", p.Detail).Msg("model request refused")
		p.Write(w)
	}
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, v *visit.Visit, chat bool) *problem.Problem {
	data, p := caller.ReadBody(w, r, maxBody, s.limits.Body)
	if p != nil {
		return p
	}
	if caller.Holds(string(data), v.Key) {
		return problem.New(http.StatusBadRequest, problem.NotRun, "the body holds the key")
	}
	q, p := parse(data, chat)
	if p != nil {
		return p
	}
	model, p := s.permitted(v, q)
	if p != nil {
		return p
	}
	q.limitOutput(model.MaxOutput)
	if served, p := s.forward(w, r, v, model.Name, data); served {
		return p
	}
	x := s.newExchange(w, r, v, q)
	ctx, cancel := context.WithTimeout(r.Context(), s.limits.Whole)
	defer cancel()
	return s.run(ctx, v, model, x)
}

func (s *Server) permitted(v *visit.Visit, q *request) (document.Model, *problem.Problem) {
	model, known := v.Accepted.Index.ModelNamed(q.fields.Model)
	if known {
		for _, name := range v.Workspace.Models {
			if name == model.Name {
				return model, nil
			}
		}
	}
	return model, problem.New(http.StatusNotFound, problem.NotRun, "model %q is not in force for this workspace", q.fields.Model)
}

func (s *Server) newExchange(w http.ResponseWriter, r *http.Request, v *visit.Visit, q *request) *exchange {
	header := caller.CleanHeader(r.Header, v.Key)
	header.Del("Content-Length")
	header.Del("Accept-Encoding")
	x := &exchange{request: v.Request, workspace: v.Workspace.Name, query: q, header: header, prompt: q.prompt()}
	id := newIdentity(v.Request, q.chat, s.clock.Now(), q.fields.Model)
	control := http.NewResponseController(w)
	if q.fields.Stream {
		x.sink = &streamSink{w: w, control: control, identity: id, includeUsage: q.fields.StreamOptions.IncludeUsage}
	} else {
		x.sink = &wholeSink{w: w, control: control, identity: id, chat: q.chat}
	}
	return x
}
