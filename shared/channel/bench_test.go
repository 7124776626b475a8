package channel_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/wire"
	"github.com/google/uuid"
)

// Sizes and names as on the capacity page.
const (
	benchModels      = 19
	benchInstance    = wire.InstanceName("entry-domain-1-042")
	benchIncarnation = wire.IncarnationId("0b0f6d0e-8a35-4d6a-9a4e-7f0c2b1d3e4f")
	benchDigest      = wire.Digest("sha256:c018c41c1afaf2c0b66c64f97d0ee135657b699ad260f299234cd40a5d625e0e")
)

// benchCase is a message of a certain size, with its topic and decoder.
type benchCase struct {
	name    string
	topic   string
	message any
	decode  func([]byte) error
}

func newBenchCase[T any](name, topic string, message T) benchCase {
	return benchCase{name: name, topic: topic, message: message, decode: func(data []byte) error {
		_, err := channel.Decode[T](data)
		return err
	}}
}

func benchCases() []benchCase {
	cases := []benchCase{
		newBenchCase("DocumentNotice", "DocumentNotice", wire.DocumentNotice{Version: 1600, Digest: benchDigest, ConfirmedAgoMillis: 1203}),
		newBenchCase("DocumentApplied", "DocumentApplied", wire.DocumentApplied{Version: 1600, Instance: benchInstance, Domain: "domain-1"}),
		newBenchCase("EndpointNotice", "EndpointNotice", wire.EndpointNotice{Endpoint: "domain-1-engine-0042", Domain: "domain-1", Phase: wire.EndpointPhaseLeaving, Reason: "the platform lists it as leaving"}),
		newBenchCase("DrainBegin", "DrainBegin", wire.DrainBegin{Order: wire.OrderId(benchIncarnation), Endpoint: "domain-1-engine-0042", Epoch: 12}),
		newBenchCase("DrainAnswer", "DrainAnswer", wire.DrainAnswer{Order: wire.OrderId(benchIncarnation), Endpoint: "domain-1-engine-0042", Instance: benchInstance, Incarnation: benchIncarnation, InFlight: 3}),
		newBenchCase("DrainEnd", "DrainEnd", wire.DrainEnd{Order: wire.OrderId(benchIncarnation), Endpoint: "domain-1-engine-0042", Epoch: 12}),
		newBenchCase("UsageHeld", "UsageHeld", wire.UsageHeld{Incarnation: benchIncarnation, Sequence: 123456}),
		newBenchCase("UsageStored", "UsageStored", wire.UsageStored{Incarnation: benchIncarnation, Sequence: 123456}),
	}
	for _, n := range []int{0, 15, 147, 440} {
		cases = append(cases, newBenchCase(fmt.Sprintf("EntryReport/busy=%d", n), "EntryReport", benchReport(n)))
	}
	for _, n := range []int{1, 15, 150, 440, 550, 2200} {
		cases = append(cases, newBenchCase(fmt.Sprintf("EndpointStates/endpoints=%d", n), "EndpointStates", benchStates(n)))
	}
	for _, n := range []int{1, 20, 100, 4560} {
		cases = append(cases, newBenchCase(fmt.Sprintf("UsageTotals/figures=%d", n), "UsageTotals", benchTotals(n)))
	}
	return cases
}

func benchReport(busy int) wire.EntryReport {
	r := wire.EntryReport{Instance: benchInstance, Incarnation: benchIncarnation, Domain: "domain-1", DocumentVersion: 1600, InFlight: []wire.EndpointCount{}, Queued: []wire.QueueCount{}}
	for i := range busy {
		r.InFlight = append(r.InFlight, wire.EndpointCount{Endpoint: wire.EndpointId(fmt.Sprintf("domain-1-engine-%04d", i)), InFlight: 2})
	}
	return r
}

func benchStates(n int) wire.EndpointStates {
	states := wire.EndpointStates{Domain: "domain-1", Epoch: 12, Sequence: 3456}
	for i := range n {
		states.Endpoints = append(states.Endpoints, wire.EndpointState{
			Endpoint:     wire.EndpointId(fmt.Sprintf("domain-1-engine-%04d", i)),
			Domain:       "domain-1",
			Kind:         wire.EndpointKindName(fmt.Sprintf("kind-model-%02d", i%benchModels)),
			Address:      fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
			Model:        wire.ModelName(fmt.Sprintf("model-%02d", i%benchModels)),
			ModelVersion: "v1",
			Phase:        wire.EndpointPhaseReady,
			Role:         wire.EngineRoleMixed,
		})
	}
	return states
}

func benchTotals(n int) wire.UsageTotals {
	totals := wire.UsageTotals{Incarnation: benchIncarnation, Sequence: 123456}
	for i := range n {
		totals.Figures = append(totals.Figures, wire.UsageFigure{
			Workspace:    wire.WorkspaceName(fmt.Sprintf("workspace-%03d", i/benchModels)),
			Model:        wire.ModelName(fmt.Sprintf("model-%02d", i%benchModels)),
			Requests:     9000,
			PromptTokens: 72_000_000,
			OutputTokens: 2_430_000,
			Cost:         32_688_000,
		})
	}
	return totals
}

func benchFrame(b *testing.B, c benchCase) []byte {
	b.Helper()
	payload, err := channel.Encode(c.message)
	if err != nil {
		b.Fatal(err)
	}
	frame, err := channel.Encode(wire.Envelope{Topic: c.topic, Id: uuid.NewString(), From: benchInstance, To: benchInstance, Payload: payload})
	if err != nil {
		b.Fatal(err)
	}
	return frame
}

// BenchmarkEncode measures the encoding of a message and reports the sizes of its payload and of its frame with the envelope.
func BenchmarkEncode(b *testing.B) {
	for _, c := range benchCases() {
		b.Run(c.name, func(b *testing.B) {
			payload, err := channel.Encode(c.message)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				_, _ = channel.Encode(c.message)
			}
			b.ReportMetric(float64(len(payload)), "payload-B")
			b.ReportMetric(float64(len(benchFrame(b, c))), "frame-B")
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	for _, c := range benchCases() {
		b.Run(c.name, func(b *testing.B) {
			payload, err := channel.Encode(c.message)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if err := c.decode(payload); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkJSONSize reports the sizes of rows of the platform's table, alone and in a transaction, and of the platform's lists.
func BenchmarkJSONSize(b *testing.B) {
	rows := []benchCase{
		{name: "DocumentRow", message: wire.DocumentRow{Version: 1600, Digest: benchDigest, Who: "operator", Why: "a change"}},
		{name: "LeaseRow", message: wire.LeaseRow{Lease: "domain/domain-1", Epoch: 12, Holder: benchInstance, Incarnation: benchIncarnation, Renewal: 123456, TermMillis: 3000}},
	}
	var endpoints wire.EndpointList
	for i := range 440 {
		endpoints.Endpoints = append(endpoints.Endpoints, wire.EndpointRecord{Endpoint: wire.EndpointId(fmt.Sprintf("domain-1-engine-%04d", i)), Domain: "domain-1", Kind: "kind-model-07", Address: "10.1.1.142:8000"})
	}
	var instances wire.InstanceList
	for i := range 800 {
		instances.Instances = append(instances.Instances, wire.InstanceRecord{Instance: wire.InstanceName(fmt.Sprintf("entry-domain-1-%03d", i)), Domain: "domain-1", Program: wire.ProgramEntry, Address: "10.1.1.142:7200", Phase: wire.InstancePhaseLive})
	}
	rows = append(rows, benchCase{name: "EndpointList/endpoints=440", message: endpoints}, benchCase{name: "InstanceList/instances=800", message: instances})
	for _, n := range []int{1, 58, 100, 4560} {
		rows = append(rows, benchCase{name: fmt.Sprintf("UsageRow/figures=%d", n), message: wire.UsageRow{Instance: benchInstance, Totals: benchTotals(n)}})
	}
	for _, row := range rows {
		b.Run(row.name, func(b *testing.B) {
			for b.Loop() {
				value, err := json.Marshal(row.message)
				if err != nil {
					b.Fatal(err)
				}
				request, err := json.Marshal(wire.TransactRequest{
					Checks: []wire.Check{{Table: "usage", Key: string(benchIncarnation), Revision: 1234567}},
					Writes: []wire.Write{{Table: "usage", Key: string(benchIncarnation), Value: value}},
				})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(value)), "row-B")
				b.ReportMetric(float64(len(request)), "transact-B")
			}
		})
	}
}

// benchLinks connects n hubs to a central one over loopback and waits until all are linked.
func benchLinks(b *testing.B, n int) (*channel.Hub, []*channel.Hub) {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	centre := newHub("centre")
	server := httptest.NewServer(centre)
	var others []*channel.Hub
	b.Cleanup(func() {
		cancel()
		for _, h := range others {
			_ = h.Close()
		}
		_ = centre.Close()
		server.Close()
	})
	up, err := centre.Subscribe(ctx, channel.TopicLinkUp)
	if err != nil {
		b.Fatal(err)
	}
	for i := range n {
		h := newHub(wire.InstanceName(fmt.Sprintf("entry-%03d", i)))
		others = append(others, h)
		h.Dial(ctx, strings.TrimPrefix(server.URL, "http://"))
	}
	for range n {
		(<-up).Ack()
	}
	return centre, others
}

// BenchmarkHubSend sends a notice to all linked hubs and waits until each has received it; that is one operation. The sender and
// the receivers run in this process and are connected over loopback.
func BenchmarkHubSend(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("links=%d", n), func(b *testing.B) {
			centre, others := benchLinks(b, n)
			var received atomic.Int64
			arrived := make(chan struct{}, 1)
			for _, h := range others {
				messages, err := h.Subscribe(b.Context(), "DocumentNotice")
				if err != nil {
					b.Fatal(err)
				}
				go func() {
					for m := range messages {
						m.Ack()
						if received.Add(1)%int64(n) == 0 {
							arrived <- struct{}{}
						}
					}
				}()
			}
			notice := wire.DocumentNotice{Version: 1600, Digest: benchDigest, ConfirmedAgoMillis: 1203}
			cpu := benchCPUNanos(b)
			b.ReportAllocs()
			for b.Loop() {
				if err := channel.Send(centre, "", "DocumentNotice", notice); err != nil {
					b.Fatal(err)
				}
				<-arrived
			}
			messages := float64(b.N * n)
			b.ReportMetric((benchCPUNanos(b)-cpu)/messages, "cpu-ns/message")
			b.ReportMetric(messages/b.Elapsed().Seconds(), "messages/s")
		})
	}
}

// BenchmarkLinkMemory reports the heap and stack bytes that both ends of a link occupy.
func BenchmarkLinkMemory(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("links=%d", n), func(b *testing.B) {
			before := benchMemoryInUse()
			benchLinks(b, n)
			for b.Loop() {
			}
			b.ReportMetric((benchMemoryInUse()-before)/float64(n), "held-B/both-ends")
		})
	}
}

// benchMemoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func benchMemoryInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
