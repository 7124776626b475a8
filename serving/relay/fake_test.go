package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"testing"
	"time"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// deed is what an endpoint does with a send.
type deed int

const (
	// answers runs the request and answers it whole.
	answers deed = iota
	// full says that it did not run the request.
	full
	// moved is another incarnation at the address.
	moved
	// unreachable gets no byte.
	unreachable
	// silent runs the request, and its answer is lost.
	silent
	// breaks runs the request and breaks off in the middle of the answer.
	breaks
	// errs runs the request and answers with a failure.
	errs
	// hangs runs the request and is silent until the sender gives up.
	hangs
	// stalls runs the request and falls silent in the middle of the answer.
	stalls
	// busy answers 503 without saying that the request did not run.
	busy
	deeds
)

// pieces is how many events a whole stream has.
const pieces = 5

// fleet is a sender whose endpoints do what next says, and keeps what they did.
type fleet struct {
	mu   sync.Mutex
	next func(a *relay.Attempt) deed
	// runs counts the runs of each request, sends its arrivals, freed and prefilled the KV caches.
	runs, sends, prefilled, freed, taken int
	attempts                             []relay.Attempt
}

func (f *fleet) Send(ctx context.Context, e *roster.Endpoint, a *relay.Attempt) (*relay.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.next(a)
	if d == unreachable {
		return nil, &relay.NeverSentError{Err: errors.New("refused")}
	}
	f.sends++
	f.attempts = append(f.attempts, *a)
	switch d {
	case full:
		return &relay.Answer{Status: 503, NotRun: true, Body: &body{}}, nil
	case moved:
		return &relay.Answer{Status: 421, Misdirected: true, Body: &body{}}, nil
	}
	if a.PrefillOnly {
		if d != answers {
			return nil, errors.New("reset")
		}
		f.prefilled++
		return &relay.Answer{Status: 200, Body: &body{text: "handle"}}, nil
	}
	f.runs++
	if a.Source != nil {
		f.taken++
	}
	switch d {
	case hangs:
		<-ctx.Done()
		return nil, context.Cause(ctx)
	case silent:
		return nil, errors.New("reset")
	case errs:
		return &relay.Answer{Status: 500, Body: &body{text: "failed"}}, nil
	case busy:
		return &relay.Answer{Status: 503, Body: &body{text: "busy"}}, nil
	}
	first := 1
	if a.LastEvent != "" {
		last, err := strconv.Atoi(a.LastEvent)
		if err != nil {
			return nil, err
		}
		first = last + 1
	}
	return &relay.Answer{Status: 200, Header: relay.Header{"From": {string(e.Entry().ID)}}, Body: &body{text: "whole", next: first, breaks: d == breaks, stalls: d == stalls, ctx: ctx}}, nil
}

func (f *fleet) Prefilled(a *relay.Answer) (string, error) {
	text, err := a.Body.All()
	return string(text), err
}

func (f *fleet) Free(*relay.Source) { f.freed++ }

// body is an answer's body: events 1 to pieces, or a text.
type body struct {
	text   string
	next   int
	breaks bool
	stalls bool
	ctx    context.Context
}

func (b *body) Next() ([]byte, string, error) {
	if b.breaks && b.next > pieces/2 {
		return nil, "", io.ErrUnexpectedEOF
	}
	if b.stalls && b.next > pieces/2 {
		<-b.ctx.Done()
		return nil, "", context.Cause(b.ctx)
	}
	if b.next > pieces {
		return nil, "", io.EOF
	}
	id := strconv.Itoa(b.next)
	b.next++
	return []byte("id: " + id + "\n\n"), id, nil
}

func (b *body) All() ([]byte, error) {
	if b.breaks {
		return nil, io.ErrUnexpectedEOF
	}
	if b.stalls {
		<-b.ctx.Done()
		return nil, context.Cause(b.ctx)
	}
	return []byte(b.text), nil
}

func (b *body) Close() {}

// client keeps what it was told.
type client struct {
	status  int
	text    string
	events  string
	from    string
	ended   bool
	aborted bool
	refusal *relay.Refusal
}

func (c *client) Answer(status int, _ relay.Header, b []byte) { c.status, c.text = status, string(b) }
func (c *client) Begin(status int, h relay.Header)            { c.status, c.from = status, h["From"][0] }
func (c *client) Event(e []byte) error                        { c.events += string(e); return nil }
func (c *client) End()                                        { c.ended = true }
func (c *client) Abort()                                      { c.aborted = true }
func (c *client) Refuse(r relay.Refusal)                      { c.refusal = &r }

// wholeStream is what a client gets of a complete stream.
func wholeStream() string {
	s := ""
	for i := 1; i <= pieces; i++ {
		s += fmt.Sprintf("id: %d\n\n", i)
	}
	return s
}

// nobody meters, and keeps the changes of belief that it was told of.
type nobody struct {
	began           int
	paused, domains []string
}

func (n *nobody) Began(wire.WorkspaceName) { n.began++ }
func (n *nobody) Decided(d relay.Decision) {
	if d.Pause > 0 {
		n.paused = append(n.paused, d.Step)
	}
}
func (n *nobody) DomainCut(d wire.DomainName, _ time.Duration) {
	n.domains = append(n.domains, "cut "+string(d))
}
func (n *nobody) DomainReached(d wire.DomainName) {
	n.domains = append(n.domains, "reached "+string(d))
}

// world is a relay before a fleet of endpoints.
type world struct {
	relay     *relay.Relay
	fleet     *fleet
	meter     *nobody
	directory *roster.Directory
}

// engines are the endpoints of the model service, plain those of the other.
const (
	engines wire.ServiceName = "engines"
	plain   wire.ServiceName = "plain"
)

// budgetRatio is how many sends beyond the first these tests allow for each request.
const budgetRatio = 0.2

func newWorld(next func(a *relay.Attempt) deed) *world {
	w := &world{fleet: &fleet{next: next}, meter: &nobody{}, directory: roster.NewDirectory()}
	bounds := relay.BudgetBounds{Window: 10 * time.Second, Ratio: budgetRatio, Slack: 100}
	w.relay = relay.New(w.directory, w.fleet, w.meter, w.meter, clockwork.NewRealClock(), "a", bounds)
	for i := range 4 {
		for service, stage := range map[wire.ServiceName][]roster.Stage{plain: {roster.NoStage}, engines: {roster.Prefill, roster.Decode}} {
			for _, s := range stage {
				id := wire.EndpointId(fmt.Sprintf("%s-%v-%d", service, s, i))
				w.directory.Put(roster.Entry{Key: roster.Key{ID: id, Born: 1}, Service: service, Domain: "a", Stage: s, Slots: 4})
			}
		}
	}
	w.relay.SetTable(table(1))
	return w
}

func table(v route.Version) *route.Table {
	base := route.Route{Host: "h", Timeout: 300 * time.Millisecond, Goal: 10 * time.Millisecond, MaxPause: 2 * time.Millisecond, MaxAttempts: 2, Public: true}
	add := func(prefix string, kind route.Kind, resumable bool, service wire.ServiceName) *route.Route {
		r := base
		r.Name, r.Prefix, r.Kind, r.Resumable = prefix, prefix, kind, resumable
		r.Shares = []route.Share{{Service: service, Weight: 1}}
		return &r
	}
	routes := []*route.Route{
		add("/once/", route.Once, false, plain),
		add("/again/", route.Idempotent, false, plain),
		add("/stream/", route.Stream, false, engines),
		add("/resume/", route.Stream, true, engines),
	}
	closed := base
	closed.Name, closed.Prefix, closed.Public = "/closed/", "/closed/", false
	closed.Shares = []route.Share{{Service: plain, Weight: 1}}
	services := []*route.Service{{Name: plain}, {Name: engines, Engine: &route.Engine{BatchSize: 64}}}
	keys := map[string]*route.Workspace{"key": {Name: "w"}}
	return route.NewTable(v, append(routes, &closed), services, keys, route.Limits{})
}

// prompt is one that is long enough to be read apart.
func prompt() placement.Prompt {
	return placement.NewPrompt(9000, 100, []placement.Part{{Name: "a", Tokens: 8000}, {Name: "b", Tokens: 1000}})
}

func (w *world) ask(t *testing.T, path string) *client {
	t.Helper()
	return w.send(t.Context(), &relay.Request{ID: "r", Arrived: time.Now(), Method: "POST", Path: path, Host: "h", Prompt: prompt()})
}

func (w *world) send(ctx context.Context, r *relay.Request) *client {
	c := &client{}
	w.relay.Serve(ctx, r, c)
	return c
}
