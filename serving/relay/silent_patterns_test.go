package relay_test

import (
	"context"
	"net"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// twoEngines returns a plan with two decode engines of the given slots, of which the first one falls silent, and a number of streams that begin
// one after the other.
func twoEngines(silent span, slots, otherSlots, streams int) *worldPlan {
	p := &worldPlan{budget: []budgetChange{{slack: 50}}, tables: []tableChange{{maxAttempts: 2}}}
	for i, n := range []int{slots, otherSlots} {
		// Prompts like these go to decode1 first.
		id := wire.EndpointId("decode" + strconv.Itoa(1-i))
		p.endpoints = append(p.endpoints, &placedEndpoint{queue: 1, entry: roster.Entry{Key: roster.Key{ID: id}, Service: engineService, Domain: "a", Stage: roster.Decode, Slots: n}})
	}
	for i := range streams {
		p.stream(time.Duration(i) * tick)
	}
	p.endpoints[0].silences = []span{silent}
	return p
}

// silentFrom is within the streams of twoEngines.
const silentFrom = 500 * time.Millisecond

// playPlan plays a plan and fails the test at any fault.
func playPlan(t *testing.T, p *worldPlan) *world {
	t.Helper()
	var w *world
	synctest.Test(t, func(t *testing.T) {
		w = newWorld(p)
		w.play(t.Context())
	})
	for _, fault := range w.faults() {
		t.Error(fault)
	}
	return w
}

// count counts the decisions of a step.
func (w *world) count(step string) int {
	n := 0
	for _, decisions := range w.decisions {
		for _, d := range decisions {
			if strings.Contains(d, " "+step+" ") {
				n++
			}
		}
	}
	return n
}

// ended counts the callers with a whole stream.
func (w *world) ended() int {
	n := 0
	for _, c := range w.callers {
		if c.ended {
			n++
		}
	}
	return n
}

// TestSilentStreamsStayWhileTheOthersAreFull guards against the cut of all streams of an endpoint that falls silent while no other one has a
// place for them.
func TestSilentStreamsStayWhileTheOthersAreFull(t *testing.T) {
	for _, length := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 2900 * time.Millisecond} {
		w := playPlan(t, twoEngines(span{silentFrom, silentFrom + length}, 8, 8, 18))
		if w.ended() != 18 || w.count("Silent") == 0 || w.count("Rejected") == 0 {
			t.Errorf("silent for %v: %d of 18 streams are whole; %d were to move, %d rejections", length, w.ended(), w.count("Silent"), w.count("Rejected"))
		}
	}
}

// TestSomeSilentStreamsMoveWhereThereIsRoomForAFew guards against the same while the other endpoint has room for some of the streams.
func TestSomeSilentStreamsMoveWhereThereIsRoomForAFew(t *testing.T) {
	w := playPlan(t, twoEngines(span{silentFrom, 3400 * time.Millisecond}, 8, 4, 10))
	if w.ended() != 10 || w.count("Failed") == 0 || w.count("Failed") == 10 {
		t.Errorf("%d of 10 streams are whole; %d have moved", w.ended(), w.count("Failed"))
	}
}

// TestSilenceBeyondTheDeadlineEndsAtTheDeadline guards against streams that are cut before their deadline, or held beyond it, and against sends
// that are left behind then.
func TestSilenceBeyondTheDeadlineEndsAtTheDeadline(t *testing.T) {
	p := twoEngines(span{silentFrom, 9 * time.Second}, 8, 8, 10)
	p.endpoints[1].silences = p.endpoints[0].silences
	w := playPlan(t, p)
	for _, r := range p.requests {
		if c := w.callers[r.ID]; c.ended || c.finished != r.at+worldTimeout {
			t.Errorf("%s, sent at %v, got %v", r.ID, r.at, c)
		}
	}
}

// TestSilentEndpointReturnsAsAnotherOneAnswers guards against events that come twice, or not at all, as the first endpoint goes on at the moment
// at which the other one takes the stream.
func TestSilentEndpointReturnsAsAnotherOneAnswers(t *testing.T) {
	// The third event is due 150 ms after the connection; the limit ends 1,200 ms after the second one, and the other endpoint begins 10 ms later.
	for end := 1300 * time.Millisecond; end <= 1420*time.Millisecond; end += tick {
		for range 5 {
			w := playPlan(t, twoEngines(span{120 * time.Millisecond, end}, 4, 4, 3))
			if w.ended() != 3 {
				t.Errorf("silent until %v: %d of 3 streams are whole", end, w.ended())
			}
		}
	}
}

// TestSuccessorThatIsSilentItselfGoesOn guards against streams that are cut as the endpoint that has taken them over is silent too.
func TestSuccessorThatIsSilentItselfGoesOn(t *testing.T) {
	s := &stepSender{runs: []step{fallsSilentFor(4 * time.Second), fallsSilentFor(2500 * time.Millisecond)}}
	if c := playScript(t, 200, 5, s); !c.ended || len(c.events) != streamEvents || s.ran != 2 {
		t.Errorf("got %v after %d sends", c, s.ran)
	}
}

// TestSilentPrefillIsKeptWithoutBudget guards against requests that are refused though their prefill goes on: the retry budget is spent.
func TestSilentPrefillIsKeptWithoutBudget(t *testing.T) {
	s := &stepSender{prefills: []step{answersAfter(3 * time.Second)}, runs: []step{answersAfter(0)}}
	if c := playScript(t, longPrompt, 0, s); !c.ended || s.asked != 1 || s.ran != 1 {
		t.Errorf("got %v after %d prefills and %d runs", c, s.asked, s.ran)
	}
}

// TestSilentPrefillWithoutAnotherEngine guards against requests that wait for a silent prefill though a decode engine could prefill their prompt,
// and against those that are refused where the budget allows no send there.
func TestSilentPrefillWithoutAnotherEngine(t *testing.T) {
	for slack, served := range map[float64]time.Duration{0: 3 * time.Second, 1: 2 * time.Second} {
		p := twoEngines(span{}, 8, 8, 1)
		p.budget[0].slack = slack
		p.requests[0].tokens, p.requests[0].events = longPrompt, 5
		p.requests[0].prefillSilent = []span{{0, 2500 * time.Millisecond}}
		p.endpoints = append(p.endpoints, &placedEndpoint{entry: roster.Entry{Key: roster.Key{ID: "prefill"}, Service: engineService, Domain: "a", Stage: roster.Prefill, Slots: 4}})
		w := playPlan(t, p)
		if c := w.callers["r0"]; !c.ended || c.finished > served {
			t.Errorf("with a budget of %v: got %v", slack, c)
		}
	}
}

// endsAtOnce answers with a stream without events.
func endsAtOnce(context.Context, *relay.Attempt) (*relay.Answer, error) {
	return &relay.Answer{Status: 200, EventStream: true, Body: &body{next: streamEvents + 1}}, nil
}

// beginsWith answers with a stream that begins with an event of a given id and breaks off after it.
func beginsWith(id int) step {
	return func(ctx context.Context, _ *relay.Attempt) (*relay.Answer, error) {
		return &relay.Answer{Status: 200, EventStream: true, Body: &oneEventBody{ctx: ctx, next: id}}, nil
	}
}

// oneEventBody is a stream that ends with an error after an event.
type oneEventBody struct {
	body
	ctx  context.Context
	next int
}

// Next returns the event once.
func (b *oneEventBody) Next() (relay.Event, error) {
	if b.next == 0 {
		return relay.Event{}, net.ErrClosed
	}
	id := strconv.Itoa(b.next)
	b.next = 0
	return relay.Event{Bytes: []byte("id: " + id + "\n\n"), ID: id, HasData: true}, nil
}

// TestStreamStaysTrueWhereItsSuccessorBeginsWrong guards against events out of order, and against streams that look complete, as the endpoint
// that has taken a stream over goes on at another event than the next.
func TestStreamStaysTrueWhereItsSuccessorBeginsWrong(t *testing.T) {
	for _, id := range []int{1, 2, 4, 5} {
		s := &stepSender{runs: []step{fallsSilentFor(4 * time.Second), beginsWith(id)}}
		c := playScript(t, 200, 5, s)
		whole := ""
		for _, e := range c.events {
			whole += e
		}
		if c.ended && whole != completeStream() || !strings.HasPrefix(completeStream(), whole) {
			t.Errorf("the successor begins with event %d: got %v: %q", id, c, whole)
		}
	}
}

// TestSuccessorThatEndsAtOnceCompletesAStream guards against streams that are cut after their last event: their endpoint was silent before the
// end, and the one that has taken them over had nothing left to send.
func TestSuccessorThatEndsAtOnceCompletesAStream(t *testing.T) {
	p := twoEngines(span{205 * time.Millisecond, 3 * time.Second}, 8, 8, 1)
	p.requests[0].events, p.requests[0].commentEvery = 3, 0
	w := playPlan(t, p)
	s := &stepSender{runs: []step{silentBeforeTheEnd, endsAtOnce}}
	if c := playScript(t, 200, 5, s); !c.ended || len(c.events) != streamEvents || s.ran != 2 || w.ended() != 1 {
		t.Errorf("got %v after %d sends", c, s.ran)
	}
}

// silentBeforeTheEnd sends all events and never ends.
func silentBeforeTheEnd(ctx context.Context, _ *relay.Attempt) (*relay.Answer, error) {
	return &relay.Answer{Status: 200, EventStream: true, Header: relay.Header{"From": {""}}, Body: &endlessBody{body: body{next: 1}, ctx: ctx}}, nil
}

// endlessBody is a stream that is silent after its last event.
type endlessBody struct {
	body
	ctx context.Context
}

// Next returns the next event, or waits for the end of the context.
func (b *endlessBody) Next() (relay.Event, error) {
	e, err := b.body.Next()
	if err != nil {
		<-b.ctx.Done()
		return relay.Event{}, net.ErrClosed
	}
	return e, nil
}
