package proof

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"cowslipshunt.example/wire"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// whole is one domain with everything: entries, engines that start empty, and a service.
func whole() plan {
	return plan{
		domains: []string{"a"}, entries: 2, engines: 2, services: 1, checksFencing: true,
		engineSettings: "OrderMillis = 100\nDecodeMicrosPerToken = 2000\n",
		dutySettings:   "LeaseTermMillis = 1500\nOrderTimeoutMillis = 500\nTickMillis = 100\nWindowSeconds = 2\n",
	}
}

// TestOfficialClientIsServed runs the whole path: a document is submitted, the holder of the lease orders endpoints and loads the
// model, and the official client gets a plain and a streamed answer.
func TestOfficialClientIsServed(t *testing.T) {
	s := newSystem(t, whole())
	s.serveFully()
	client := openai.NewClient(option.WithBaseURL("http://"+s.members[0].address+"/v1"), option.WithAPIKey(testKey), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model:     testModel,
		MaxTokens: openai.Int(12),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("plan a route from cairns to hall four")},
	}
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	plain, err := client.Chat.Completions.New(ctx, params)
	if err != nil {
		t.Fatal(err)
	}
	if plain.Usage.CompletionTokens != 12 || plain.Choices[0].FinishReason == "" {
		t.Errorf("plain answer: %s", plain.RawJSON())
	}
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	whole := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		whole.AddChunk(stream.Current())
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if got, want := whole.Choices[0].Message.Content, plain.Choices[0].Message.Content; got != want || want == "" {
		t.Errorf("streamed %q, plain %q", got, want)
	}
	models, err := client.Models.List(ctx)
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != testModel {
		t.Errorf("models: %v, %v", models, err)
	}
	stranger := openai.NewClient(option.WithBaseURL("http://"+s.members[0].address+"/v1"), option.WithAPIKey("wrong"), option.WithMaxRetries(0))
	if _, err := stranger.Chat.Completions.New(ctx, params); err == nil {
		t.Error("a wrong key was served")
	}
}

// load keeps streams and bookings running at every entry that is ready, until it is ended.
type load struct {
	s      *system
	end    chan struct{}
	work   sync.WaitGroup
	mu     sync.Mutex
	whole  int
	errors []string
}

func startLoad(s *system, streams int) *load {
	l := &load{s: s, end: make(chan struct{})}
	for i := range streams {
		l.work.Go(func() { l.run(i) })
	}
	return l
}

func (l *load) run(i int) {
	c := newCaller(testKey)
	for n := 0; ; n++ {
		select {
		case <-l.end:
			return
		default:
		}
		m := l.ready((i + n) % len(l.s.members))
		if m == nil {
			<-time.After(pollEvery)
			continue
		}
		res := c.stream(m.address, fmt.Sprintf("stream %d of %d", n, i), 100, nil)
		l.note(m, res)
	}
}

// ready returns an entry that a balancer would choose, starting at a place.
func (l *load) ready(from int) *member {
	for i := range l.s.members {
		m := l.s.members[(from+i)%len(l.s.members)]
		if answer, err := http.Get("http://" + m.operations + "/readyz"); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return m
			}
		}
	}
	return nil
}

func (l *load) note(m *member, res result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if res.whole && len(res.tokens) == 100 {
		l.whole++
		return
	}
	l.errors = append(l.errors, fmt.Sprintf("%s: status %d, outcome %q, %d tokens, err %v, %s", m.name, res.status, res.outcome, len(res.tokens), res.err, res.body))
}

// finish ends the load and demands that every request was answered whole.
func (l *load) finish(t *testing.T, atLeast int) {
	t.Helper()
	close(l.end)
	l.work.Wait()
	for _, e := range l.errors {
		t.Error(e)
	}
	if l.whole < atLeast {
		t.Errorf("only %d streams were whole", l.whole)
	}
	t.Logf("%d whole streams", l.whole)
}

// TestRollingReplacementCutsNothing replaces every instance under load, those that hold leases too.
func TestRollingReplacementCutsNothing(t *testing.T) {
	p := whole()
	p.entrySettings = "LeaveMillis = 300\n"
	s := newSystem(t, p)
	s.serveFully()
	l := startLoad(s, 8)
	for _, m := range s.members {
		if code := m.entry.stop(t); code != 0 {
			t.Errorf("%s exited %d", m.entry.name, code)
		}
		m.entry.restart(t)
		s.waitReady(m.name, m.operations, "/readyz")
	}
	s.serveFully()
	l.finish(t, 20)
}

// TestLeavingEndpointGetsNoNewWork lets one entry hear that an endpoint leaves, and measures until no entry sends to it.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	s := newSystem(t, small())
	h := startHolder(t, s, "a")
	s.serveFully()
	l := startLoad(s, 8)
	h.change(func(list []wire.EndpointState) { list[0].Phase = wire.EndpointPhaseLeaving })
	left := s.engines[0]
	settled := 0
	eventually(t, "the leaving endpoint gets no new work", func() bool {
		n := len(get[wire.EngineReceivedList](left.address, "/received").Requests)
		if n != settled {
			settled = n
			return false
		}
		return l.count() > 40
	})
	before := l.count()
	eventually(t, "more streams are whole", func() bool { return l.count() > before+40 })
	if n := len(get[wire.EngineReceivedList](left.address, "/received").Requests); n != settled {
		t.Errorf("the leaving endpoint got %d more requests", n-settled)
	}
	l.finish(t, 80)
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.whole
}
