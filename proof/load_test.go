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

// fullPlan is one domain with entries that run duties, engines that start without a model, and a service.
func fullPlan() plan {
	return plan{
		domains: []string{"a"}, entries: 2, engines: 2, services: 1, checksFencing: true,
		engineSettings: "OrderMillis = 100\nDecodeMicrosPerToken = 2000\n",
		dutySettings:   "LeaseTermMillis = 1500\nOrderTimeoutMillis = 500\nTickMillis = 100\nWindowSeconds = 2\n",
	}
}

// TestOfficialClientIsServed runs the system end to end: a document is submitted, the lease holder orders endpoints and
// loads the model, and the official OpenAI client gets a plain and a streamed answer.
func TestOfficialClientIsServed(t *testing.T) {
	s := newSystem(t, fullPlan())
	s.waitEndpointsReady()
	client := openai.NewClient(option.WithBaseURL("http://"+s.instances[0].address+"/v1"), option.WithAPIKey(testKey), option.WithMaxRetries(0))
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
	accumulated := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		accumulated.AddChunk(stream.Current())
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if got, want := accumulated.Choices[0].Message.Content, plain.Choices[0].Message.Content; got != want || want == "" {
		t.Errorf("streamed %q, plain %q", got, want)
	}
	models, err := client.Models.List(ctx)
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != testModel {
		t.Errorf("models: %v, %v", models, err)
	}
	unauthorized := openai.NewClient(option.WithBaseURL("http://"+s.instances[0].address+"/v1"), option.WithAPIKey("wrong"), option.WithMaxRetries(0))
	if _, err := unauthorized.Chat.Completions.New(ctx, params); err == nil {
		t.Error("a request with a wrong key was served")
	}
}

// load keeps streams running at entries that are ready, until it is stopped.
type load struct {
	s        *system
	stop     chan struct{}
	work     sync.WaitGroup
	mu       sync.Mutex
	complete int
	errors   []string
}

func startLoad(s *system, streams int) *load {
	l := &load{s: s, stop: make(chan struct{})}
	for i := range streams {
		l.work.Go(func() { l.run(i) })
	}
	return l
}

func (l *load) run(i int) {
	c := newCaller(testKey)
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		m := l.readyInstance((i + n) % len(l.s.instances))
		if m == nil {
			<-time.After(pollInterval)
			continue
		}
		res := c.stream(m.address, fmt.Sprintf("stream %d of %d", n, i), 100, nil)
		l.record(m, res)
	}
}

// readyInstance returns the first ready entry at or after an index, as a load balancer would choose it, or nil.
func (l *load) readyInstance(from int) *instance {
	for i := range l.s.instances {
		m := l.s.instances[(from+i)%len(l.s.instances)]
		if answer, err := http.Get("http://" + m.operationsAddress + "/readyz"); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return m
			}
		}
	}
	return nil
}

func (l *load) record(m *instance, res result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if res.complete && len(res.tokens) == 100 {
		l.complete++
		return
	}
	l.errors = append(l.errors, fmt.Sprintf("%s: status %d, outcome %q, %d tokens, err %v, %s", m.name, res.status, res.outcome, len(res.tokens), res.err, res.body))
}

// finish stops the load and checks that every request got a complete answer, and that there were enough of them.
func (l *load) finish(t *testing.T, atLeast int) {
	t.Helper()
	close(l.stop)
	l.work.Wait()
	for _, e := range l.errors {
		t.Error(e)
	}
	if l.complete < atLeast {
		t.Errorf("only %d streams were complete", l.complete)
	}
	t.Logf("%d complete streams", l.complete)
}

// TestRollingReplacementCutsNoRequest restarts every instance in turn under load, including those that hold leases. Every
// stream must be complete.
func TestRollingReplacementCutsNoRequest(t *testing.T) {
	p := fullPlan()
	p.entrySettings = "LeaveMillis = 300\n"
	s := newSystem(t, p)
	s.waitEndpointsReady()
	l := startLoad(s, 8)
	for _, m := range s.instances {
		if code := m.entry.stop(t); code != 0 {
			t.Errorf("%s exited %d", m.entry.name, code)
		}
		m.entry.restart(t)
		s.waitReady(m.name, m.operationsAddress, "/readyz")
	}
	s.waitEndpointsReady()
	l.finish(t, 20)
}

// TestLeavingEndpointGetsNoNewWork lists an endpoint as leaving, waits until it gets no new requests, and checks that it
// gets none afterwards.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	s := newSystem(t, smallPlan())
	h := startLeaseHolder(t, s, "a")
	s.waitEndpointsReady()
	l := startLoad(s, 8)
	h.updateEndpoints(func(list []wire.EndpointState) { list[0].Phase = wire.EndpointPhaseLeaving })
	leaving := s.engines[0]
	received := 0
	eventually(t, "the leaving endpoint gets no new work", func() bool {
		n := len(get[wire.EngineReceivedList](leaving.address, "/received").Requests)
		if n != received {
			received = n
			return false
		}
		return l.completeCount() > 40
	})
	before := l.completeCount()
	eventually(t, "more streams are complete", func() bool { return l.completeCount() > before+40 })
	if n := len(get[wire.EngineReceivedList](leaving.address, "/received").Requests); n != received {
		t.Errorf("the leaving endpoint got %d more requests", n-received)
	}
	l.finish(t, 80)
}

func (l *load) completeCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.complete
}
