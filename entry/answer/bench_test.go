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

	"cowslipshunt.example/entry/answer"
	"cowslipshunt.example/entry/visit"
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

// benchEngine streams a set number of tokens, each written and flushed by itself, without any work between them.
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

type benchParts struct{}

func (benchParts) SinceConfirmed() time.Duration            { return 0 }
func (benchParts) Record(context.Context, wire.UsageFigure) {}
func (benchParts) Forward(http.ResponseWriter, *http.Request, *visit.Visit, []byte) *problem.Problem {
	return problem.New(http.StatusServiceUnavailable, problem.NotRun, "no peer")
}

func benchCurrent(b *testing.B) *document.Current {
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
	if _, err := current.Take(1, document.Digest(text), text); err != nil {
		b.Fatal(err)
	}
	return current
}

// benchEntry returns the address of an answer server before one engine.
func benchEntry(b *testing.B, engine string) string {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	logger := process.NewLogger(io.Discard, "info", "bench", "entry")
	directory := endpoint.NewDirectory()
	directory.Apply(wire.EndpointStates{Epoch: 1, Endpoints: []wire.EndpointState{{
		Endpoint: "e", Address: engine, Model: "model", Phase: wire.EndpointPhaseReady, Role: wire.EngineRoleMixed,
	}}})
	queues := queue.NewSet(ctx, clockwork.NewRealClock())
	gate := visit.NewGate(benchCurrent(b), benchParts{}, 4096, logger)
	limits := answer.Limits{Queue: time.Minute, Stall: time.Minute, Whole: time.Minute}
	server := httptest.NewServer(http.HandlerFunc(answer.NewServer(gate, directory, queues, benchParts{}, benchParts{}, clockwork.NewRealClock(), limits).ServeChat))
	b.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func benchAsk(b *testing.B, client *http.Client, address string) {
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

// BenchmarkStream asks for one streamed answer at a time, at the engine itself and through the entry's code. Caller, entry
// and engine share this process, so what the entry adds is the difference between the two; a token's part is the difference
// between two lengths divided by the difference of the lengths.
func BenchmarkStream(b *testing.B) {
	for _, count := range []int{1, 100, 1000} {
		engine := httptest.NewServer(benchEngine(count))
		b.Cleanup(engine.Close)
		direct := strings.TrimPrefix(engine.URL, "http://")
		ways := []struct{ name, address string }{{"engine", direct}, {"entry", benchEntry(b, direct)}}
		for _, way := range ways {
			b.Run(fmt.Sprintf("tokens=%d/at=%s", count, way.name), func(b *testing.B) {
				cpu := benchProcessor(b)
				b.ReportAllocs()
				for b.Loop() {
					benchAsk(b, engine.Client(), way.address)
				}
				b.ReportMetric((benchProcessor(b)-cpu)/float64(b.N), "cpu-ns/request")
			})
		}
	}
}

// benchProcessor returns the processor time that this process has used, in nanoseconds.
func benchProcessor(b *testing.B) float64 {
	b.Helper()
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		b.Fatal(err)
	}
	return float64(used.Utime.Nano() + used.Stime.Nano())
}
