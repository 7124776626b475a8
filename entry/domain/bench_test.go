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

// headBytes counts the bytes of a request's head as its client wrote it.
func headBytes(r *http.Request) int64 {
	head := &bytes.Buffer{}
	fmt.Fprintf(head, "%s %s %s\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Proto, r.Host)
	_ = r.Header.Write(head)
	head.WriteString("\r\n")
	return int64(head.Len())
}

// benchEngines runs an engine's state interface on an address of its own for each endpoint.
func benchEngines(b *testing.B, n int, asked *atomic.Int64) []wire.EndpointRecord {
	b.Helper()
	var list []wire.EndpointRecord
	for i := range n {
		id := wire.EndpointId(fmt.Sprintf("domain-1-engine-%04d", i))
		state := wire.EngineState{Endpoint: id, Epoch: 12, ChecksFencing: true, Model: "model-07", ModelVersion: "v1", Role: wire.EngineRoleMixed, LastOrder: "0b0f6d0e-8a35-4d6a-9a4e-7f0c2b1d3e4f", LastOrderDone: true}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked.Store(headBytes(r))
			standin.WriteJSON(w, http.StatusOK, state)
		}))
		b.Cleanup(server.Close)
		list = append(list, wire.EndpointRecord{Endpoint: id, Address: strings.TrimPrefix(server.URL, "http://")})
	}
	return list
}

// BenchmarkPollStates asks every engine of a domain once, as the holder does on each tick. Both ends share this process.
func BenchmarkPollStates(b *testing.B) {
	for _, n := range []int{15, 150, 440} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			var asked atomic.Int64
			list := benchEngines(b, n, &asked)
			poller := NewPoller(10 * time.Second)
			poller.States(b.Context(), list)
			cpu := benchProcessor(b)
			b.ReportAllocs()
			for b.Loop() {
				if len(poller.States(b.Context(), list)) != n {
					b.Fatal("an engine did not answer")
				}
			}
			b.ReportMetric((benchProcessor(b)-cpu)/float64(b.N*n), "cpu-ns/state")
			b.ReportMetric(float64(asked.Load()), "request-B")
		})
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
