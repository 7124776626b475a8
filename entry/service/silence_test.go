package service_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cowslipshunt.example/entry/admission"
	"cowslipshunt.example/entry/service"
	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/shared/queue"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// stall is the stall limit of most service servers, testTimeout bounds each wait of a test.
const (
	stall       = 50 * time.Millisecond
	testTimeout = 20 * time.Second
)

// stubs implements the gate's confirmation, the recorder and the forwarder.
type stubs struct{}

func (stubs) SinceConfirmed() time.Duration            { return 0 }
func (stubs) Record(context.Context, wire.UsageFigure) {}
func (stubs) Forward(http.ResponseWriter, *http.Request, *admission.Request, []byte) *problem.Problem {
	return problem.New(http.StatusServiceUnavailable, problem.NotRun, "no peer")
}

// lineWriter calls a function with each line of a log.
type lineWriter func(line string)

func (f lineWriter) Write(p []byte) (int, error) {
	f(string(p))
	return len(p), nil
}

// system is a service server with some endpoints that share a handler. The routes /again are repeatable, all others are not.
type system struct {
	address   string
	directory *endpoint.Directory
	// calls counts the requests that the endpoints got.
	calls atomic.Int64
}

// newSystem starts a service server with a stall limit and n endpoints, which are given the number of the request, from 1.
func newSystem(t *testing.T, n int, stall time.Duration, log lineWriter, serve func(n int64, w http.ResponseWriter, r *http.Request)) *system {
	t.Helper()
	text, err := document.Encode(&document.Document{
		EndpointKind: []document.EndpointKind{{Name: "kind", Serves: document.ServesService, Service: "service"}},
		Route: []document.Route{
			{Service: "service", Prefix: "/again", Open: true, Repeatable: true},
			{Service: "service", Prefix: "/once", Open: true},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	current := document.NewCurrent()
	if _, err := current.Apply(1, document.Digest(text), text); err != nil {
		t.Fatal(err)
	}
	s := &system{directory: endpoint.NewDirectory()}
	var states []wire.EndpointState
	for i := range n {
		e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			serve(s.calls.Add(1), w, r)
		}))
		t.Cleanup(e.Close)
		address := strings.TrimPrefix(e.URL, "http://")
		states = append(states, wire.EndpointState{Endpoint: wire.EndpointId(fmt.Sprint("e", i)), Address: address, Service: "service", Phase: wire.EndpointPhaseReady})
	}
	s.directory.Apply(wire.EndpointStates{Epoch: 1, Endpoints: states})
	clock := clockwork.NewRealClock()
	gate := admission.NewGate(current, stubs{}, 4096, process.NewLogger(log, "info", "test", "entry"))
	limits := service.Limits{Body: testTimeout, Queue: time.Second, Stall: stall, Total: testTimeout}
	server := httptest.NewServer(service.NewServer(t.Context(), gate, s.directory, queue.NewSet(t.Context(), clock), nil, stubs{}, stubs{}, clock, limits))
	t.Cleanup(server.Close)
	s.address = server.URL
	return s
}

// call sends a request and returns the status and the text of the answer.
func (s *system) call(t *testing.T, path string) (status int, text string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.address+"/services/service"+path, strings.NewReader("{}"))
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp.StatusCode, string(body)
}

// requireAnswer sends a request and fails the test unless it is answered with status 200 and the text want, and no slot is taken then.
func (s *system) requireAnswer(t *testing.T, path, want string) {
	t.Helper()
	if status, text := s.call(t, path); status != http.StatusOK || text != want {
		t.Errorf("status %d, %q", status, text)
	}
	timeout := time.After(testTimeout)
	for _, e := range s.directory.View().Service("service") {
		for e.InFlight() != 0 {
			select {
			case <-time.After(time.Millisecond):
			case <-timeout:
				t.Fatalf("%d slots of %s are taken after the answer", e.InFlight(), e.State().Endpoint)
			}
		}
	}
}

// answerLate answers once ch is closed, and reports whether the entry waited for that.
func answerLate(w http.ResponseWriter, r *http.Request, ch <-chan struct{}) bool {
	select {
	case <-ch:
		_, _ = io.WriteString(w, "late")
		return true
	case <-r.Context().Done():
		return false
	}
}

// TestLateAnswerIsPassedOn guards against refusals with 502 or 504 of requests whose endpoint is only late, where no other one may be asked.
func TestLateAnswerIsPassedOn(t *testing.T) {
	for name, test := range map[string]struct {
		path, reason string
		endpoints    int
	}{
		"not repeatable": {"/once", "the route is not repeatable", 2},
		"no other":       {"/again", "there is no other", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var once sync.Once
			waited := make(chan struct{})
			log := func(line string) {
				if strings.Contains(line, test.reason) {
					once.Do(func() { close(waited) })
				}
			}
			s := newSystem(t, test.endpoints, stall, log, func(_ int64, w http.ResponseWriter, r *http.Request) {
				if !answerLate(w, r, waited) {
					t.Error("the endpoint was left")
				}
			})
			s.requireAnswer(t, test.path, "late")
			if n := s.calls.Load(); n != 1 {
				t.Errorf("the endpoints got %d requests", n)
			}
		})
	}
}

// TestSilentEndpointIsKeptUntilAnotherAnswers guards against the same where another endpoint is asked and does not answer.
func TestSilentEndpointIsKeptUntilAnotherAnswers(t *testing.T) {
	for name, fail := range map[string]http.HandlerFunc{
		"rejects": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(caller.HeaderOutcome, string(problem.NotRun))
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"fails":         func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"breaks":        func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"is silent too": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var once sync.Once
			asked := make(chan struct{})
			s := newSystem(t, 3, stall, func(string) {}, func(n int64, w http.ResponseWriter, r *http.Request) {
				if n > 1 {
					once.Do(func() { close(asked) })
					fail(w, r)
					return
				}
				if !answerLate(w, r, asked) {
					t.Error("the endpoint was left before another one answered")
				}
			})
			s.requireAnswer(t, "/again", "late")
		})
	}
}

// TestSilentEndpointIsReplaced checks that another endpoint answers for a silent one, which is then left.
func TestSilentEndpointIsReplaced(t *testing.T) {
	left := make(chan struct{})
	s := newSystem(t, 2, stall, func(string) {}, func(n int64, w http.ResponseWriter, r *http.Request) {
		if n > 1 {
			_, _ = io.WriteString(w, "instead")
			return
		}
		if !answerLate(w, r, nil) {
			close(left)
		}
	})
	s.requireAnswer(t, "/again", "instead")
	<-left
}

// TestHungRequestDoesNotKeepOthersFromTheEndpoint guards against an endpoint that gets no more requests, as one that it does not answer is
// waited for and takes the place of the probe after a failure.
func TestHungRequestDoesNotKeepOthersFromTheEndpoint(t *testing.T) {
	var once sync.Once
	waited, release := make(chan struct{}), make(chan struct{})
	log := func(line string) {
		if strings.Contains(line, "the route is not repeatable") {
			once.Do(func() { close(waited) })
		}
	}
	s := newSystem(t, 1, stall, log, func(n int64, w http.ResponseWriter, r *http.Request) {
		if n == 1 {
			answerLate(w, r, release)
			return
		}
		_, _ = io.WriteString(w, "at once")
	})
	var hung sync.WaitGroup
	hung.Go(func() { _, _ = s.call(t, "/once") })
	<-waited
	for range 3 {
		if status, text := s.call(t, "/once"); status != http.StatusOK || text != "at once" {
			t.Errorf("status %d, %q", status, text)
		}
	}
	close(release)
	hung.Wait()
}

// TestCallerThatLeavesIsNoFailureOfItsEndpoint guards against sound endpoints that are avoided because a caller has left.
func TestCallerThatLeavesIsNoFailureOfItsEndpoint(t *testing.T) {
	reached, left := make(chan struct{}), make(chan struct{})
	failed := make(chan string, 1)
	log := func(line string) {
		if strings.Contains(line, "attempt at an endpoint failed") {
			failed <- line
		}
	}
	s := newSystem(t, 1, testTimeout, log, func(_ int64, _ http.ResponseWriter, r *http.Request) {
		close(reached)
		<-r.Context().Done()
		close(left)
	})
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-reached
		leave()
	}()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.address+"/services/service/once", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := http.DefaultClient.Do(r); err == nil {
		t.Error("the request was answered")
	}
	<-left
	<-failed
	if !endpoint.AnyUnpaused(s.directory.View().Service("service"), endpoint.Need{}, time.Now()) {
		t.Error("the endpoint is avoided")
	}
}
