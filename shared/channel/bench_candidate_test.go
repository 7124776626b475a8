package channel_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipshunt.example/shared/channel"
)

// shortFigure is a candidate for usage on the wire: the workspace's and the model's index in the document, requests, prompt
// tokens, output tokens and cost.
type shortFigure [6]int

// shortTotals is a candidate for the message that carries them, on a link that knows both instances.
type shortTotals struct {
	_               struct{} `cbor:",toarray"`
	Topic, Sequence int
	Figures         []shortFigure
}

// shortLoad is a candidate for an entry's report: requests in flight and waiting for each model.
type shortLoad struct {
	_                 struct{} `cbor:",toarray"`
	Topic, Version    int
	InFlight, Waiting []int
}

// BenchmarkCandidate reports what messages would take in a shorter form.
func BenchmarkCandidate(b *testing.B) {
	load := shortLoad{Topic: 3, Version: 1600}
	for range benchModels {
		load.InFlight = append(load.InFlight, 10)
		load.Waiting = append(load.Waiting, 100)
	}
	cases := []benchCase{{name: "Load/models=19", message: load}}
	for _, n := range []int{1, 2, 20, 58, 4560} {
		totals := shortTotals{Topic: 5, Sequence: 123456}
		for i := range n {
			totals.Figures = append(totals.Figures, shortFigure{i / benchModels, i % benchModels, 9000, 72_000_000, 2_430_000, 32_688_000})
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

// BenchmarkIdleLinks watches links that carry nothing but their heartbeats. Both ends share this process.
func BenchmarkIdleLinks(b *testing.B) {
	const watched = 3 * time.Second
	for _, n := range []int{10, 100} {
		b.Run(fmt.Sprintf("links=%d", n), func(b *testing.B) {
			benchLinks(b, n)
			for b.Loop() {
				cpu := benchProcessor(b)
				<-time.After(watched)
				b.ReportMetric((benchProcessor(b)-cpu)/float64(n)/watched.Seconds()/1000, "cpu-us/s/both-ends")
			}
		})
	}
}
