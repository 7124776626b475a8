package answer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"cowslipshunt.example/entry/admission"
	"cowslipshunt.example/entry/answer"
	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/shared/queue"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

const benchKey = "csh_bench"

// benchEngine returns a handler that streams count tokens. It writes and flushes each separately and does no work in between.
func benchEngine(count int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		request, attempt := r.Header.Get(caller.HeaderRequest), r.Header.Get(caller.HeaderAttempt)
		w.Header().Set(caller.HeaderRequest, request)
		w.Header().Set(caller.HeaderAttempt, attempt)
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		event := func(id, choices, usage string) {
			fmt.Fprintf(w, "id: %s/%s/%s\ndata: {\"id\":\"e\",\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"model\",\"choices\":[%s]%s}\n\n", request, attempt, id, choices, usage)
			_ = control.Flush()
		}
		for i := range count {
			event(fmt.Sprint(i), `{"index":0,"delta":{"content":" token"},"finish_reason":null}`, "")
		}
		event("end", `{"index":0,"delta":{},"finish_reason":"stop"}`, "")
		event("usage", "", fmt.Sprintf(`,"usage":{"prompt_tokens":4,"completion_tokens":%d,"total_tokens":%d}`, count, count+4))
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

// benchStubs implements the gate's confirmation, the recorder and the forwarder.
type benchStubs struct{}

func (benchStubs) SinceConfirmed() time.Duration            { return 0 }
func (benchStubs) Record(context.Context, wire.UsageFigure) {}
func (benchStubs) Forward(http.ResponseWriter, *http.Request, *admission.Request, []byte) *problem.Problem {
	return problem.New(http.StatusServiceUnavailable, problem.NotRun, "no peer")
}

// benchDocument returns an accepted document with one model and one workspace.
func benchDocument(b testing.TB) *document.Current {
	b.Helper()
	text, err := document.Encode(&document.Document{
		Model:        []document.Model{{Name: "model", Version: "v1", PromptPrice: 400, OutputPrice: 1600}},
		EndpointKind: []document.EndpointKind{{Name: "kind", Serves: document.ServesModel, Model: "model"}},
		Workspace:    []document.Workspace{{Name: "workspace", Models: []wire.ModelName{"model"}, Key: []document.Key{{Label: "bench", Digest: document.KeyDigest(benchKey)}}}},
	})
	if err != nil {
		b.Fatal(err)
	}
	current := document.NewCurrent()
	if _, err := current.Apply(1, document.Digest(text), text); err != nil {
		b.Fatal(err)
	}
	return current
}

// benchEntry starts an answer server that sends its requests to engine, and returns the server's address.
func benchEntry(b testing.TB, engine string) string {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	logger := process.NewLogger(io.Discard, "info", "bench", "entry")
	directory := endpoint.NewDirectory()
	directory.Apply(wire.EndpointStates{Epoch: 1, Endpoints: []wire.EndpointState{{
		Endpoint: "e", Address: engine, Model: "model", Phase: wire.EndpointPhaseReady, Role: wire.EngineRoleMixed,
	}}})
	queues := queue.NewSet(ctx, clockwork.NewRealClock())
	gate := admission.NewGate(benchDocument(b), benchStubs{}, 4096, logger)
	limits := answer.Limits{Queue: time.Minute, Stall: time.Minute, Total: time.Minute}
	server := httptest.NewServer(http.HandlerFunc(answer.NewServer(gate, directory, queues, benchStubs{}, benchStubs{}, clockwork.NewRealClock(), limits).ServeChat))
	b.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// benchRequest sends one streamed request to address and reads the whole answer.
func benchRequest(b *testing.B, client *http.Client, address string) {
	b.Helper()
	body := `{"model":"model","stream":true,"messages":[{"role":"user","content":"a prompt of five words"}]}`
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+benchKey)
	r.Header.Set(caller.HeaderRequest, "request")
	r.Header.Set(caller.HeaderAttempt, "1")
	resp, err := client.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || !strings.HasSuffix(string(data), "data: [DONE]\n\n") {
		b.Fatalf("got %q and %v", data, err)
	}
}

// BenchmarkStream requests one streamed answer at a time, directly from the engine and through the entry. Caller, entry and
// engine share this process, so the entry's cost is the difference between the two. The cost per token is the difference between
// two token counts, divided by the difference of the counts.
func BenchmarkStream(b *testing.B) {
	for _, count := range []int{1, 100, 1000} {
		engine := httptest.NewServer(benchEngine(count))
		b.Cleanup(engine.Close)
		direct := strings.TrimPrefix(engine.URL, "http://")
		targets := []struct{ name, address string }{{"engine", direct}, {"entry", benchEntry(b, direct)}}
		for _, target := range targets {
			b.Run(fmt.Sprintf("tokens=%d/at=%s", count, target.name), func(b *testing.B) {
				cpu := benchCPUTime(b)
				b.ReportAllocs()
				for b.Loop() {
					benchRequest(b, engine.Client(), target.address)
				}
				b.ReportMetric((benchCPUTime(b)-cpu)/float64(b.N), "cpu-ns/request")
			})
		}
	}
}

// benchCPUTime returns the CPU time that this process has used, in nanoseconds.
func benchCPUTime(b *testing.B) float64 {
	b.Helper()
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		b.Fatal(err)
	}
	return float64(used.Utime.Nano() + used.Stime.Nano())
}
