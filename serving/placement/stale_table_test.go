package placement

import (
	"fmt"
	"testing"
	"time"
)

// staleLoads are the loads of the table in docs/design/placement.md.
var staleLoads = []staleLoad{
	{name: "8 instances", instances: 8, engines: 12, report: 50 * time.Millisecond, prefixes: 60, duration: 40 * time.Second},
	{name: "8 instances, 2 prefixes", instances: 8, engines: 12, report: 50 * time.Millisecond, prefixes: 2, duration: 40 * time.Second},
	{name: "80 instances", instances: 80, engines: 60, report: 500 * time.Millisecond, prefixes: 300, duration: 40 * time.Second},
	{name: "80 instances, 1 prefix", instances: 80, engines: 60, report: 500 * time.Millisecond, prefixes: 1, duration: 40 * time.Second},
	{name: "80 instances, 5 prefixes", instances: 80, engines: 60, report: 500 * time.Millisecond, prefixes: 5, duration: 40 * time.Second},
	{name: "400 instances", instances: 400, engines: 240, report: time.Second, prefixes: 1200, duration: 24 * time.Second},
}

// staleSeed is the seed of the table. The constants of spread.go were chosen with the seed 1.
const staleSeed = 2

// BenchmarkStaleReports prints the table of docs/design/placement.md. It needs -benchtime 1x.
func BenchmarkStaleReports(b *testing.B) {
	for _, l := range staleLoads {
		l.seed = staleSeed
		for _, speeds := range [][]float64{{0.7, 0.7, 1.7}, {1}} {
			for _, l.utilisation = range []float64{0.5, 0.75} {
				l.speeds = speeds
				name := fmt.Sprintf("%s, %d speeds, %.2f", l.name, len(speeds), l.utilisation)
				fmt.Printf("| %s | least cost | %v |\n", name, l.run(false, false))
				fmt.Printf("| %s | spread | %v |\n", name, l.run(true, false))
				fmt.Printf("| %s | spread, learned speeds | %v |\n", name, l.run(true, true))
			}
		}
	}
}

// TestOldReportsDoNotOverloadIdleEngines guards against the herding of instances whose load reports are old: prompts that leave an overloaded engine
// must not all go to the same idle ones, which then read shared parts that other engines have cached.
func TestOldReportsDoNotOverloadIdleEngines(t *testing.T) {
	for _, i := range []int{0, 2} {
		l := staleLoads[i]
		l.duration /= 2
		l.seed = staleSeed
		l.speeds, l.utilisation = []float64{0.7, 0.7, 1.7}, 0.75
		leastCost, spread := l.run(false, false), l.run(true, true)
		t.Logf("%s: least cost %v; spread %v", l.name, leastCost, spread)
		if spread.hits < leastCost.hits-0.002 || spread.p99 > leastCost.p99*2/3 {
			t.Errorf("%s: %v, want at least the cache hits and less wait than %v", l.name, spread, leastCost)
		}
	}
}
