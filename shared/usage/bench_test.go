package usage_test

import (
	"fmt"
	"runtime"
	"testing"

	"cowslipshunt.example/shared/usage"
	"cowslipshunt.example/wire"
)

const benchModels = 19

var benchWorkspaces = []int{8, 240}

func benchFigure(workspace, model int) wire.UsageFigure {
	return wire.UsageFigure{
		Workspace:    wire.WorkspaceName(fmt.Sprintf("workspace-%03d", workspace)),
		Model:        wire.ModelName(fmt.Sprintf("model-%02d", model)),
		Requests:     1,
		PromptTokens: 8000,
		OutputTokens: 270,
		Cost:         3632,
	}
}

func benchFigures(workspaces int) []wire.UsageFigure {
	var figures []wire.UsageFigure
	for w := range workspaces {
		for m := range benchModels {
			figures = append(figures, benchFigure(w, m))
		}
	}
	return figures
}

func benchMeter(workspaces int) *usage.Meter {
	meter := usage.NewMeter("incarnation")
	for _, f := range benchFigures(workspaces) {
		meter.Add(f)
	}
	return meter
}

func BenchmarkMeterAdd(b *testing.B) {
	for _, n := range benchWorkspaces {
		b.Run(fmt.Sprintf("cells=%d", n*benchModels), func(b *testing.B) {
			meter := benchMeter(n)
			f := benchFigure(n/2, 3)
			b.ReportAllocs()
			for b.Loop() {
				meter.Add(f)
			}
		})
	}
}

// BenchmarkMeterSince reads the one counter that a request changed, as the message to the peer after each request does.
func BenchmarkMeterSince(b *testing.B) {
	for _, n := range benchWorkspaces {
		b.Run(fmt.Sprintf("cells=%d/changed=1", n*benchModels), func(b *testing.B) {
			meter := benchMeter(n)
			f := benchFigure(n/2, 3)
			b.ReportAllocs()
			for b.Loop() {
				sequence := meter.Add(f)
				if len(meter.Since(sequence-1).Figures) != 1 {
					b.Fatal("want exactly one changed counter")
				}
			}
		})
	}
}

func BenchmarkMerge(b *testing.B) {
	for _, n := range benchWorkspaces {
		b.Run(fmt.Sprintf("cells=%d", n*benchModels), func(b *testing.B) {
			all := wire.UsageTotals{Incarnation: "incarnation", Sequence: 1, Figures: benchFigures(n)}
			b.ReportAllocs()
			for b.Loop() {
				usage.Merge(all, all)
			}
		})
	}
}

// BenchmarkPeerTotalsMerge merges one changed counter into the full totals of a peer, as each request of that peer does.
func BenchmarkPeerTotalsMerge(b *testing.B) {
	for _, n := range benchWorkspaces {
		b.Run(fmt.Sprintf("cells=%d/changed=1", n*benchModels), func(b *testing.B) {
			peers := usage.NewPeerTotals()
			peers.Merge("peer", wire.UsageTotals{Incarnation: "incarnation", Sequence: 1, Figures: benchFigures(n)})
			f := benchFigure(n/2, 3)
			sequence := 1
			b.ReportAllocs()
			for b.Loop() {
				sequence++
				f.Requests++
				if !peers.Merge("peer", wire.UsageTotals{Incarnation: "incarnation", Sequence: sequence, Figures: []wire.UsageFigure{f}}) {
					b.Fatal("the totals were not stored")
				}
			}
		})
	}
}

// BenchmarkMeterMemory reports the heap memory of one meter in bytes.
func BenchmarkMeterMemory(b *testing.B) {
	const copies = 20
	for _, n := range benchWorkspaces {
		b.Run(fmt.Sprintf("cells=%d", n*benchModels), func(b *testing.B) {
			for b.Loop() {
				meters := make([]*usage.Meter, copies)
				before := heapBytes()
				for i := range meters {
					meters[i] = benchMeter(n)
				}
				b.ReportMetric((heapBytes()-before)/copies, "held-B")
				runtime.KeepAlive(meters)
			}
		})
	}
}

func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
