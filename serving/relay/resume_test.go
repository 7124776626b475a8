package relay_test

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

// scriptedAnswer is what an endpoint answers to one send of a stream. The ids are those of its events; a text is an event without fields.
type scriptedAnswer struct {
	status  int
	noType  bool
	notRun  bool
	ids     []string
	text    string
	end     error
	sendErr error
}

// scriptedSender answers each send with the next of its answers, and the last of them again.
type scriptedSender struct {
	answers []scriptedAnswer
	sends   int
	// last are the ids after which the sends ask to go on.
	last []string
}

func (s *scriptedSender) Send(_ context.Context, e *roster.Endpoint, a *relay.Attempt) (*relay.Answer, error) {
	next := s.answers[min(s.sends, len(s.answers)-1)]
	s.sends++
	s.last = append(s.last, a.LastEvent)
	if next.sendErr != nil {
		return nil, next.sendErr
	}
	return &relay.Answer{Status: next.status, NotRun: next.notRun, EventStream: !next.noType, Header: relay.Header{"From": {string(e.Entry().ID)}}, Body: &scriptedBody{answer: next}}, nil
}

func (s *scriptedSender) Prefilled(*relay.Answer) (string, error) { return "", errors.New("none") }
func (s *scriptedSender) Free(*relay.Source, func(*relay.Answer)) {}

// scriptedBody is the body of a scripted answer.
type scriptedBody struct {
	answer scriptedAnswer
	n      int
}

func (b *scriptedBody) Next() (relay.Event, error) {
	if b.answer.text != "" && b.n == 0 {
		b.n++
		return relay.Event{Bytes: []byte(b.answer.text + "\n\n")}, nil
	}
	if i := b.n - min(len(b.answer.text), 1); i < len(b.answer.ids) {
		b.n++
		id := b.answer.ids[i]
		text := "data: " + id + "\n\n"
		if id == "" {
			text = "data: none\n\n"
		}
		return relay.Event{Bytes: []byte(text), ID: id, HasData: true}, nil
	}
	if b.answer.end != nil {
		return relay.Event{}, b.answer.end
	}
	return relay.Event{}, io.EOF
}

func (b *scriptedBody) All() ([]byte, error) { return []byte(b.answer.text), b.answer.end }
func (b *scriptedBody) Close()               {}

// serveScript sends a request for a stream that may be resumed to endpoints with scripted answers. It may run three times.
func serveScript(ctx context.Context, answers ...scriptedAnswer) (*fakeCaller, *scriptedSender, *recorder) {
	h, s := newHarness(always(succeeds)), &scriptedSender{answers: answers}
	bounds := relay.BudgetBounds{Window: 10 * time.Second, Ratio: budgetRatio, Slack: 100}
	x := relay.New(h.directory, s, h.recorder, h.recorder, clockwork.NewRealClock(), "a", bounds)
	t := table(1)
	t.Find("h", "/resume/").MaxAttempts = 3
	x.SetTable(t)
	c := &fakeCaller{}
	x.Serve(ctx, &relay.Request{ID: "r", Arrived: time.Now(), Method: "POST", Path: "/resume/", Host: "h"}, c)
	return c, s, h.recorder
}

func list(ids string) []string { return strings.Fields(ids) }

// data returns the events with the given ids as a client receives them.
func data(ids string) string {
	text := ""
	for _, id := range list(ids) {
		text += "data: " + id + "\n\n"
	}
	return text
}

// brokenAnswers are answers to the resumption of a stream after event 2 that cannot go on in it.
var brokenAnswers = map[string]scriptedAnswer{
	"a server error":                     {status: 500, noType: true, text: "internal error"},
	"an error as a stream":               {status: 500, ids: list("3 4 5")},
	"an unavailable endpoint":            {status: 503, noType: true, text: "busy"},
	"a client error":                     {status: 400, noType: true, text: "no such event"},
	"a rejection":                        {status: 503, noType: true, notRun: true},
	"a success that is no stream":        {status: 200, noType: true, text: "<html>"},
	"a success with events, of no type":  {status: 200, noType: true, ids: list("3 4 5")},
	"the stream from its start":          {status: 200, ids: list("1 2 3 4 5")},
	"the last event again":               {status: 200, ids: list("2 3 4 5")},
	"a later event":                      {status: 200, ids: list("4 5")},
	"an event without an id":             {status: 200, ids: []string{"", "3", "4", "5"}},
	"an id that is no number":            {status: 200, ids: list("x 3 4 5")},
	"a huge id":                          {status: 200, ids: list("99999999999999999999 3 4 5")},
	"a text, then the end of connection": {status: 200, text: "internal error", end: io.ErrUnexpectedEOF},
	"nothing, then the end":              {status: 200, end: io.ErrUnexpectedEOF},
	"no answer":                          {sendErr: errors.New("reset")},
}

// TestResumptionThatCannotGoOnIsTriedElsewhere guards against an error, or another run's events, in the middle of a stream, and against a
// stream that ends though another endpoint could go on with it.
func TestResumptionThatCannotGoOnIsTriedElsewhere(t *testing.T) {
	first := scriptedAnswer{status: 200, ids: list("1 2"), end: io.ErrUnexpectedEOF}
	for name, broken := range brokenAnswers {
		t.Run(name, func(t *testing.T) {
			c, s, _ := serveScript(t.Context(), first, broken, scriptedAnswer{status: 200, ids: list("3 4 5")})
			if !c.ended || c.aborted || c.events != data("1 2 3 4 5") {
				t.Errorf("got %q, ended %v, aborted %v after %d sends", c.events, c.ended, c.aborted, s.sends)
			}
			if s.sends != 3 || s.last[1] != "2" || s.last[2] != "2" {
				t.Errorf("%d sends, after the events %q", s.sends, s.last)
			}
			c, _, r := serveScript(t.Context(), first, broken)
			if c.ended || !c.aborted || c.events != data("1 2") || c.refusal != nil {
				t.Errorf("with no better answer: got %q, ended %v, aborted %v", c.events, c.ended, c.aborted)
			}
			if d := r.decisions[len(r.decisions)-1]; d.Step != "Aborted" || d.Endpoint == "" {
				t.Errorf("the last decision is %+v", d)
			}
		})
	}
}

// TestEventsOfResumedStreamAreChecked guards against events that come twice or are missing after a resumed stream has begun well.
func TestEventsOfResumedStreamAreChecked(t *testing.T) {
	for name, ids := range map[string]string{"an event twice": "3 3 4 5", "an event again": "3 2 4 5", "an event is missing": "3 5"} {
		t.Run(name, func(t *testing.T) {
			c, _, _ := serveScript(t.Context(), scriptedAnswer{status: 200, ids: list("1 2"), end: io.ErrUnexpectedEOF}, scriptedAnswer{status: 200, ids: list(ids)},
				scriptedAnswer{status: 200, ids: list("4 5")})
			if !c.ended || c.events != data("1 2 3 4 5") {
				t.Errorf("got %q, ended %v", c.events, c.ended)
			}
		})
	}
}

// TestRepeatedEventBreaksAnyStream guards against an event that an endpoint sends twice in its first answer.
func TestRepeatedEventBreaksAnyStream(t *testing.T) {
	c, _, _ := serveScript(t.Context(), scriptedAnswer{status: 200, ids: list("1 2 2 3")}, scriptedAnswer{status: 200, ids: list("3 4 5")})
	if !c.ended || c.events != data("1 2 3 4 5") {
		t.Errorf("got %q, ended %v", c.events, c.ended)
	}
}

// TestStreamWhoseIDsSkipNumbersIsResumed checks that only the order is asked for where an endpoint's own ids leave out numbers.
func TestStreamWhoseIDsSkipNumbersIsResumed(t *testing.T) {
	c, _, _ := serveScript(t.Context(), scriptedAnswer{status: 200, ids: list("10 20"), end: io.ErrUnexpectedEOF}, scriptedAnswer{status: 200, ids: list("30 40")})
	if !c.ended || c.events != data("10 20 30 40") {
		t.Errorf("got %q, ended %v", c.events, c.ended)
	}
}

// TestStreamAfterEventWithoutIDIsNotResumed guards against an event that comes twice because no id says that it was delivered.
func TestStreamAfterEventWithoutIDIsNotResumed(t *testing.T) {
	c, s, _ := serveScript(t.Context(), scriptedAnswer{status: 200, ids: []string{"1", ""}, end: io.ErrUnexpectedEOF}, scriptedAnswer{status: 200, ids: list("2 3")})
	if !c.aborted || s.sends != 1 {
		t.Errorf("got %q, aborted %v after %d sends", c.events, c.aborted, s.sends)
	}
}

// TestClientSeesEachEventOnceInOrder lets endpoints answer at random, and checks that the client gets the first events of the stream, and
// all of them if its stream ends as complete.
func TestClientSeesEachEventOnceInOrder(t *testing.T) {
	names := make([]string, 0, len(brokenAnswers))
	for name := range brokenAnswers {
		names = append(names, name)
	}
	slices.Sort(names)
	rapid.Check(t, func(t *rapid.T) {
		answers := []scriptedAnswer{{status: 200, ids: list("1 2"), end: io.ErrUnexpectedEOF}}
		for range 3 {
			if rapid.Bool().Draw(t, "sound") {
				answers = append(answers, scriptedAnswer{status: 200, ids: list("3 4 5")})
				continue
			}
			answers = append(answers, brokenAnswers[rapid.SampledFrom(names).Draw(t, "answer")])
		}
		c, _, _ := serveScript(t.Context(), answers...)
		if all := data("1 2 3 4 5"); c.ended && c.events != all || !strings.HasPrefix(all, c.events) {
			t.Fatalf("got %q, ended %v", c.events, c.ended)
		}
		if c.ended == c.aborted {
			t.Fatalf("ended %v, aborted %v", c.ended, c.aborted)
		}
	})
}
