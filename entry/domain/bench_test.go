package domain

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cowslipshunt.example/shared/standin"
	"cowslipshunt.example/wire"
)

// headBytes returns the size of a request's line and headers as the client wrote them.
func headBytes(r *http.Request) int64 {
	head := &bytes.Buffer{}
	fmt.Fprintf(head, "%s %s %s\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Proto, r.Host)
	_ = r.Header.Write(head)
	head.WriteString("\r\n")
	return int64(head.Len())
}

// startBenchEngines runs n HTTP servers that answer like engines' state interface, and stores the size of the last request's
// head in requestBytes.
func startBenchEngines(b *testing.B, n int, requestBytes *atomic.Int64) []wire.EndpointRecord {
	b.Helper()
	var list []wire.EndpointRecord
	for i := range n {
		id := wire.EndpointId(fmt.Sprintf("domain-1-engine-%04d", i))
		state := wire.EngineState{Endpoint: id, Epoch: 12, ChecksFencing: true, Model: "model-07", ModelVersion: "v1", Role: wire.EngineRoleMixed, LastOrder: "0b0f6d0e-8a35-4d6a-9a4e-7f0c2b1d3e4f", LastOrderDone: true}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requestBytes.Store(headBytes(r))
			standin.WriteJSON(w, http.StatusOK, state)
		}))
		b.Cleanup(server.Close)
		list = append(list, wire.EndpointRecord{Endpoint: id, Address: strings.TrimPrefix(server.URL, "http://")})
	}
	return list
}

// BenchmarkPollStates measures polling every engine of a domain once, as the lease holder does on each tick. The processor time
// includes the servers, which run in the same process.
func BenchmarkPollStates(b *testing.B) {
	for _, n := range []int{15, 150, 440} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			var requestBytes atomic.Int64
			list := startBenchEngines(b, n, &requestBytes)
			poller := NewPoller(10 * time.Second)
			poller.States(b.Context(), list)
			cpu := cpuNanos(b)
			b.ReportAllocs()
			for b.Loop() {
				if len(poller.States(b.Context(), list)) != n {
					b.Fatal("an engine did not answer")
				}
			}
			b.ReportMetric((cpuNanos(b)-cpu)/float64(b.N*n), "cpu-ns/state")
			b.ReportMetric(float64(requestBytes.Load()), "request-B")
		})
	}
}

// cpuNanos returns the processor time that this process has used, in nanoseconds.
func cpuNanos(b *testing.B) float64 {
	b.Helper()
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		b.Fatal(err)
	}
	return float64(used.Utime.Nano() + used.Stime.Nano())
}
