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

// Load of BenchmarkOverhead.
const (
	tokensPerAnswer = 16
	warmUpRequests  = 200
)

// overheadDocument returns a document with one model and one caller, with limits too high to take effect.
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

// benchSystem is an entry in front of one engine, with a peer that holds the entry's usage totals.
type benchSystem struct {
	engine  string
	entry   *entrySettings
	process *process
}

func startBenchSystem(b *testing.B, decodeMicros int, env ...string) *benchSystem {
	b.Helper()
	platform := startPlatform(b)
	engine, operations := freeAddress(b), freeAddress(b)
	start(b, "standin-engine", map[string]any{
		"Address": engine, "OperationsAddress": operations, "Endpoint": "engine", "LogLevel": "error", "Model": "model",
		"ModelVersion": "v1", "MaxRunning": 1024, "MaxWaiting": 1024, "DecodeMicrosPerToken": decodeMicros,
	})
	waitReady(b, operations)
	sys := &benchSystem{engine: engine, entry: newEntrySettings(b, "entry", platform)}
	peer := newEntrySettings(b, "peer", platform)
	sys.entry.addPeer(peer)
	peer.addPeer(sys.entry)
	sys.process = start(b, "entry", sys.entry, env...)
	start(b, "entry", peer)
	sys.entry.submitDocument(b, overheadDocument(), 0)
	sys.entry.sendEndpoints(b, []wire.EndpointState{{
		Endpoint: "engine", Domain: domain, Kind: "kind", Address: engine, Model: "model", ModelVersion: "v1",
		Phase: wire.EndpointPhaseReady, Role: wire.EngineRoleMixed,
	}})
	waitFor(b, "the link to the peer", func() bool { return linkedAtVersion(sys.entry.status(b), 1) })
	return sys
}

// sendStreamed sends one request for a streamed answer and reads it to the end. It returns the times to the first byte and
// to the end.
func sendStreamed(client *http.Client, address string) (first, total time.Duration, err error) {
	body := fmt.Sprintf(`{"model":"model","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"a prompt of five words"}]}`, tokensPerAnswer)
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
		err = fmt.Errorf("status %d, incomplete answer %q", resp.StatusCode, rest)
	}
	return first, time.Since(started), err
}

// timings are the latencies of many requests, to the first byte and in total, and the duration of the whole load.
type timings struct {
	mu           sync.Mutex
	first, total []time.Duration
	elapsed      time.Duration
	failed       error
}

// runLoad sends a number of requests with the given concurrency.
func runLoad(address string, concurrency, requests int) *timings {
	s := &timings{}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrency}}
	defer client.CloseIdleConnections()
	var workers sync.WaitGroup
	started := time.Now()
	for range concurrency {
		workers.Go(func() {
			for range requests / concurrency {
				s.record(sendStreamed(client, address))
			}
		})
	}
	workers.Wait()
	s.elapsed = time.Since(started)
	return s
}

func (s *timings) record(first, total time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failed = err
		return
	}
	s.first = append(s.first, first)
	s.total = append(s.total, total)
}

// percentile returns an exact percentile of sorted times, in microseconds.
func percentile(sorted []time.Duration, percent int) float64 {
	return float64(sorted[(len(sorted)-1)*percent/100].Microseconds())
}

// BenchmarkOverhead compares requests through an entry on one core with requests to the engine itself, in one run. With a
// delay per token the engine sets the rate of the answers; without one the entry runs at its maximum rate.
func BenchmarkOverhead(b *testing.B) {
	loads := []struct{ decodeMicros, concurrency, requests int }{
		{0, 1, 2000}, {10_000, 32, 2560}, {10_000, 128, 5120}, {0, 32, 16_000},
	}
	for _, l := range loads {
		b.Run(fmt.Sprintf("token-us=%d/concurrency=%d", l.decodeMicros, l.concurrency), func(b *testing.B) {
			sys := startBenchSystem(b, l.decodeMicros, "GOMAXPROCS=1")
			for _, target := range []struct{ name, address string }{{"engine", sys.engine}, {"entry", sys.entry.Address}} {
				b.Run("at="+target.name, func(b *testing.B) {
					for b.Loop() {
						measure(b, sys, target.address, l.concurrency, l.requests)
					}
				})
			}
		})
	}
}

func measure(b *testing.B, sys *benchSystem, address string, concurrency, requests int) {
	b.Helper()
	runLoad(address, concurrency, warmUpRequests)
	allocations, before := metricValue(b, sys.entry.OperationsAddress, "go_memstats_mallocs_total"), sys.process.readResources(b)
	s := runLoad(address, concurrency, requests)
	after := sys.process.readResources(b)
	allocations = metricValue(b, sys.entry.OperationsAddress, "go_memstats_mallocs_total") - allocations
	if s.failed != nil {
		b.Fatal(s.failed)
	}
	done := float64(len(s.total))
	slices.Sort(s.first)
	slices.Sort(s.total)
	b.ReportMetric(percentile(s.first, 50), "first-p50-us")
	b.ReportMetric(percentile(s.first, 99), "first-p99-us")
	b.ReportMetric(percentile(s.total, 50), "whole-p50-us")
	b.ReportMetric(percentile(s.total, 99), "whole-p99-us")
	b.ReportMetric(done/s.elapsed.Seconds(), "requests/s")
	if address == sys.entry.Address {
		b.ReportMetric(float64(allocations)/done, "entry-allocs/request")
		b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/done, "entry-cpu-us/request")
		b.ReportMetric(float64(after.residentBytes)/(1<<20), "entry-resident-MiB")
	}
}
