package answer

import (
	"context"
	"net/http"
	"time"

	"cowslipshunt.example/entry/admission"
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

// Limits for one request.
const (
	maxAttempts   = 4
	maxBodyBytes  = 8 << 20
	maxRetryDelay = 50 * time.Millisecond
	retryAfter    = 2 * time.Second
)

// Retry budget of one entry, over all requests.
const (
	retriesPerSecond = 20
	retryBurst       = 200
)

var (
	answersComplete   = metrics.NewCounter(`entry_answers_total{outcome="whole"}`)
	answersTruncated  = metrics.NewCounter(`entry_answers_total{outcome="cut"}`)
	answersCallerGone = metrics.NewCounter(`entry_answers_total{outcome="caller_gone"}`)
	answersRefused    = metrics.NewCounter(`entry_answers_total{outcome="refused"}`)
	retries           = metrics.NewCounter("entry_retries_total")
	retryBudgetSpent  = metrics.NewCounter("entry_retry_budget_spent_total")
	firstTokenSeconds = metrics.NewHistogram("entry_first_token_seconds")
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

// Server answers model requests. It sends them to engines and retries failed attempts on other engines.
type Server struct {
	gate            *admission.Gate
	directory       *endpoint.Directory
	queues          *queue.Set
	recorder        Recorder
	forwarder       Forwarder
	engineTransport http.RoundTripper
	retryBudget     *rate.Limiter
	limits          Limits
	clock           clockwork.Clock
}

// Limits bounds the phases of a request.
type Limits struct {
	// Body bounds the wait for a request's body.
	Body time.Duration
	// Queue bounds the wait for a slot at an engine.
	Queue time.Duration
	// Stall is how long an engine may send nothing before another one is asked.
	Stall time.Duration
	// Total bounds the time in the queue and at engines, over all attempts.
	Total time.Duration
}

// NewServer returns a Server that admits requests through gate.
func NewServer(gate *admission.Gate, directory *endpoint.Directory, queues *queue.Set, recorder Recorder, forwarder Forwarder, clock clockwork.Clock, limits Limits) *Server {
	return &Server{
		gate:            gate,
		directory:       directory,
		queues:          queues,
		recorder:        recorder,
		forwarder:       forwarder,
		engineTransport: caller.NewTransport(0),
		retryBudget:     rate.NewLimiter(retriesPerSecond, retryBurst),
		limits:          limits,
		clock:           clock,
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
	admitted, p := s.gate.Admit(r, func(*document.Accepted) bool { return false })
	if p != nil {
		p.Write(w)
		return
	}
	s.serve(w, r, admitted, chat)
}

// ServeForwarded answers a model request that a peer admitted and forwarded.
func (s *Server) ServeForwarded(w http.ResponseWriter, r *http.Request, chat bool) {
	admitted, p := s.gate.AdmitForwarded(r)
	if p != nil {
		p.Write(w)
		return
	}
	s.serve(w, r, admitted, chat)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, admitted *admission.Request, chat bool) {
	defer admitted.Release()
	w.Header().Set(caller.HeaderRequest, string(admitted.ID))
	if p := s.handle(w, r, admitted, chat); p != nil {
		p.Request = admitted.ID
		answersRefused.Inc()
		admitted.Log.Info().Str("Workspace", string(admitted.Workspace.Name)).Int("Status", p.Status).Str("Outcome", string(p.Outcome)).Str("Detail", p.Detail).Msg("model request refused")
		p.Write(w)
	}
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request, admitted *admission.Request, chat bool) *problem.Problem {
	body, p := caller.ReadBody(w, r, maxBodyBytes, s.limits.Body)
	if p != nil {
		return p
	}
	if caller.ContainsKey(string(body), admitted.Key) {
		return problem.New(http.StatusBadRequest, problem.NotRun, "the body holds the key")
	}
	q, p := parseRequest(body, chat)
	if p != nil {
		return p
	}
	model, p := s.permittedModel(admitted, q)
	if p != nil {
		return p
	}
	q.limitOutput(model.MaxOutput)
	if handled, p := s.forward(w, r, admitted, model.Name, body); handled {
		return p
	}
	x := s.newExchange(w, r, admitted, q)
	ctx, cancel := context.WithTimeout(r.Context(), s.limits.Total)
	defer cancel()
	return s.runAttempts(ctx, admitted, model, x)
}

// permittedModel returns the requested model if the document allows the workspace to use it.
func (s *Server) permittedModel(admitted *admission.Request, q *modelRequest) (document.Model, *problem.Problem) {
	model, found := admitted.Accepted.Index.ModelNamed(q.fields.Model)
	if found {
		for _, name := range admitted.Workspace.Models {
			if name == model.Name {
				return model, nil
			}
		}
	}
	return model, problem.New(http.StatusNotFound, problem.NotRun, "model %q is not in force for this workspace", q.fields.Model)
}

func (s *Server) newExchange(w http.ResponseWriter, r *http.Request, admitted *admission.Request, q *modelRequest) *exchange {
	header := caller.ForwardableHeader(r.Header, admitted.Key)
	header.Del("Content-Length")
	header.Del("Accept-Encoding")
	x := &exchange{requestID: admitted.ID, workspace: admitted.Workspace.Name, request: q, header: header, prompt: q.prompt()}
	identity := newIdentity(admitted.ID, q.chat, s.clock.Now(), q.fields.Model)
	control := http.NewResponseController(w)
	if q.fields.Stream {
		x.sink = &streamSink{w: w, control: control, identity: identity, includeUsage: q.fields.StreamOptions.IncludeUsage}
	} else {
		x.sink = &bufferedSink{w: w, control: control, identity: identity, chat: q.chat}
	}
	return x
}
