package endpoint_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/wire"
)

// benchEndpoints are the sizes used on the capacity page: a small domain, a medium one, one of the target size, a large one and
// the whole fleet.
var benchEndpoints = []int{15, 150, 440, 550, 2200}

const benchModels = 19

func benchStates(n, sequence int) wire.EndpointStates {
	states := wire.EndpointStates{Domain: "domain-1", Epoch: 1, Sequence: sequence}
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

func BenchmarkDirectoryApply(b *testing.B) {
	for _, n := range benchEndpoints {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			directory := endpoint.NewDirectory()
			states := benchStates(n, 1)
			b.ReportAllocs()
			for b.Loop() {
				states.Sequence++
				if !directory.Apply(states) {
					b.Fatal("states were not applied")
				}
			}
		})
	}
}

// BenchmarkDirectoryMemory reports the heap memory of a directory with its states.
func BenchmarkDirectoryMemory(b *testing.B) {
	const copies = 20
	for _, n := range benchEndpoints {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			for b.Loop() {
				directories := make([]*endpoint.Directory, copies)
				before := benchHeap()
				for i := range directories {
					directories[i] = endpoint.NewDirectory()
					directories[i].Apply(benchStates(n, 1))
				}
				b.ReportMetric((benchHeap()-before)/copies, "held-B")
				runtime.KeepAlive(directories)
			}
		})
	}
}

// BenchmarkChoose takes a slot at one of the candidates, the endpoints that serve one model.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{1, 15, 23, 150, 2200} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			directory := endpoint.NewDirectory()
			states := benchStates(n, 1)
			for i := range states.Endpoints {
				states.Endpoints[i].Model = "model"
			}
			directory.Apply(states)
			rng := rand.New(rand.NewPCG(1, 1))
			list := directory.View().Model("model")
			now := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				endpoint.Choose(list, endpoint.Need{}, now, rng).Release()
			}
		})
	}
}

// BenchmarkCountEligible counts the eligible endpoints of one model, as each request does before it waits in the queue.
func BenchmarkCountEligible(b *testing.B) {
	for _, n := range []int{23, 2200} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			directory := endpoint.NewDirectory()
			states := benchStates(n, 1)
			for i := range states.Endpoints {
				states.Endpoints[i].Model = "model"
			}
			directory.Apply(states)
			list := directory.View().Model("model")
			for b.Loop() {
				if endpoint.CountEligible(list, endpoint.Need{}) != n {
					b.Fatal("CountEligible did not count every endpoint")
				}
			}
		})
	}
}

func benchHeap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
