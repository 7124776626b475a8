package capacity

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
)

// Load of the overhead's measurement.
const (
	answerTokens   = 16
	warmUpRequests = 200
)

// overheadDocument has one model and one caller whose limits are out of the way.
func overheadDocument() *document.Document {
	return &document.Document{
		Model:        []document.Model{{Name: "model", Version: "v1", PromptPrice: 400, OutputPrice: 1600}},
		EndpointKind: []document.EndpointKind{{Name: "kind", Serves: document.ServesModel, Model: "model", Concurrency: 1024}},
		Workspace: []document.Workspace{{
			Name: "workspace", Models: []wire.ModelName{"model"}, MaxConcurrent: 1024,
			Key: []document.Key{{Label: "bench", Digest: document.KeyDigest(callerKey)}},
		}},
	}
}

// fleet is an entry before one engine, with a peer that holds its usage.
type fleet struct {
	engine string
	entry  *entrySettings
	run    *process
}

func startFleet(b *testing.B, decodeMicros int, env ...string) *fleet {
	b.Helper()
	platform := startPlatform(b)
	engine, operations := freeAddress(b), freeAddress(b)
	start(b, "standin-engine", map[string]any{
		"Address": engine, "OperationsAddress": operations, "Endpoint": "engine", "LogLevel": "error", "Model": "model",
		"ModelVersion": "v1", "MaxRunning": 1024, "MaxWaiting": 1024, "DecodeMicrosPerToken": decodeMicros,
	})
	waitReady(b, operations)
	f := &fleet{engine: engine, entry: newEntrySettings(b, "entry", platform)}
	peer := newEntrySettings(b, "peer", platform)
	f.entry.know(peer)
	peer.know(f.entry)
	f.run = start(b, "entry", f.entry, env...)
	start(b, "entry", peer)
	f.entry.submit(b, overheadDocument(), 0)
	f.entry.hold(b, []wire.EndpointState{{
		Endpoint: "engine", Domain: domain, Kind: "kind", Address: engine, Model: "model", ModelVersion: "v1",
		Phase: wire.EndpointPhaseReady, Role: wire.EngineRoleMixed,
	}})
	waitFor(b, "the peer", func() bool { return settled(f.entry.status(b), 1) })
	return f
}

// ask sends one streamed request and reads its answer to the end. It returns the times to the first byte and to the end.
func ask(client *http.Client, address string) (first, whole time.Duration, err error) {
	body := fmt.Sprintf(`{"model":"model","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"a prompt of five words"}]}`, answerTokens)
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Request-Id", "direct")
	r.Header.Set("Attempt", "1")
	started := time.Now()
	resp, err := client.Do(r)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	start := make([]byte, 1)
	if _, err := io.ReadFull(resp.Body, start); err != nil {
		return 0, 0, err
	}
	first = time.Since(started)
	rest, err := io.ReadAll(resp.Body)
	if err == nil && !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		err = fmt.Errorf("status %d, cut answer %q", resp.StatusCode, rest)
	}
	return first, time.Since(started), err
}

// sample is the times of many requests.
type sample struct {
	mu           sync.Mutex
	first, whole []time.Duration
	elapsed      time.Duration
	failed       error
}

// load sends requests, concurrency of them at a time.
func load(address string, concurrency, requests int) *sample {
	s := &sample{}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrency}}
	defer client.CloseIdleConnections()
	var workers sync.WaitGroup
	started := time.Now()
	for range concurrency {
		workers.Go(func() {
			for range requests / concurrency {
				s.note(ask(client, address))
			}
		})
	}
	workers.Wait()
	s.elapsed = time.Since(started)
	return s
}

func (s *sample) note(first, whole time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failed = err
		return
	}
	s.first = append(s.first, first)
	s.whole = append(s.whole, whole)
}

// percentile returns the exact one of sorted times, in microseconds.
func percentile(sorted []time.Duration, percent int) float64 {
	return float64(sorted[(len(sorted)-1)*percent/100].Microseconds())
}

// BenchmarkOverhead compares an entry on one core with the engine itself, in one run. With a delay an engine paces its
// tokens; without one the entry is driven as fast as it goes.
func BenchmarkOverhead(b *testing.B) {
	loads := []struct{ decodeMicros, concurrency, requests int }{
		{0, 1, 2000}, {10_000, 32, 2560}, {10_000, 128, 5120}, {0, 32, 16_000},
	}
	for _, l := range loads {
		b.Run(fmt.Sprintf("token-us=%d/concurrency=%d", l.decodeMicros, l.concurrency), func(b *testing.B) {
			f := startFleet(b, l.decodeMicros, "GOMAXPROCS=1")
			for _, way := range []struct{ name, address string }{{"engine", f.engine}, {"entry", f.entry.Address}} {
				b.Run("at="+way.name, func(b *testing.B) {
					for b.Loop() {
						measure(b, f, way.address, l.concurrency, l.requests)
					}
				})
			}
		})
	}
}

func measure(b *testing.B, f *fleet, address string, concurrency, requests int) {
	b.Helper()
	load(address, concurrency, warmUpRequests)
	allocations, before := counter(b, f.entry.OperationsAddress, "go_memstats_mallocs_total"), f.run.read(b)
	s := load(address, concurrency, requests)
	after := f.run.read(b)
	allocations = counter(b, f.entry.OperationsAddress, "go_memstats_mallocs_total") - allocations
	if s.failed != nil {
		b.Fatal(s.failed)
	}
	done := float64(len(s.whole))
	slices.Sort(s.first)
	slices.Sort(s.whole)
	b.ReportMetric(percentile(s.first, 50), "first-p50-us")
	b.ReportMetric(percentile(s.first, 99), "first-p99-us")
	b.ReportMetric(percentile(s.whole, 50), "whole-p50-us")
	b.ReportMetric(percentile(s.whole, 99), "whole-p99-us")
	b.ReportMetric(done/s.elapsed.Seconds(), "requests/s")
	if address == f.entry.Address {
		b.ReportMetric(float64(allocations)/done, "entry-allocs/request")
		b.ReportMetric(float64((after.processor-before.processor).Microseconds())/done, "entry-cpu-us/request")
		b.ReportMetric(float64(after.resident)/(1<<20), "entry-resident-MiB")
	}
}
