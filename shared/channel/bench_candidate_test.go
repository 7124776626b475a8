package channel_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipshunt.example/shared/channel"
)

// compactFigure is a possible shorter encoding of wire.UsageFigure: the workspace's and the model's index in the document,
// requests, prompt tokens, output tokens and cost.
type compactFigure [6]int

// compactTotals is a possible shorter encoding of wire.UsageTotals. It leaves out the incarnation, as both ends of a
// link know which instances they connect.
type compactTotals struct {
	_               struct{} `cbor:",toarray"`
	Topic, Sequence int
	Figures         []compactFigure
}

// compactLoad is a possible shorter encoding of wire.EntryReport: the requests in flight and waiting for each model.
type compactLoad struct {
	_                 struct{} `cbor:",toarray"`
	Topic, Version    int
	InFlight, Waiting []int
}

// BenchmarkCandidate measures messages in the shorter encodings.
func BenchmarkCandidate(b *testing.B) {
	load := compactLoad{Topic: 3, Version: 1600}
	for range benchModels {
		load.InFlight = append(load.InFlight, 10)
		load.Waiting = append(load.Waiting, 100)
	}
	cases := []benchCase{{name: "Load/models=19", message: load}}
	for _, n := range []int{1, 2, 20, 58, 4560} {
		totals := compactTotals{Topic: 5, Sequence: 123456}
		for i := range n {
			totals.Figures = append(totals.Figures, compactFigure{i / benchModels, i % benchModels, 9000, 72_000_000, 2_430_000, 32_688_000})
		}
		cases = append(cases, benchCase{name: fmt.Sprintf("Totals/figures=%d", n), message: totals})
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			payload, err := channel.Encode(c.message)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				_, _ = channel.Encode(c.message)
			}
			b.ReportMetric(float64(len(payload)), "frame-B")
		})
	}
}

// BenchmarkIdleLinks measures the processor time of links that carry only heartbeats. Both ends run in this process.
func BenchmarkIdleLinks(b *testing.B) {
	const observed = 3 * time.Second
	for _, n := range []int{10, 100} {
		b.Run(fmt.Sprintf("links=%d", n), func(b *testing.B) {
			benchLinks(b, n)
			for b.Loop() {
				cpu := benchCPUNanos(b)
				<-time.After(observed)
				b.ReportMetric((benchCPUNanos(b)-cpu)/float64(n)/observed.Seconds()/1000, "cpu-us/s/both-ends")
			}
		})
	}
}
