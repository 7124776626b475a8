package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// decodeLoad is a load of requests that decode engines of three failure domains run, each with the KV cache of one domain.
type decodeLoad struct {
	instances, engines int
	report             time.Duration
	// perSecond is the rate of requests.
	perSecond float64
}

// run simulates the load. It returns the mean of the requests at the engine that has the most at a time, relative to the mean of the engines, the
// 99th percentile of a request's time, and the share of requests that went to another failure domain.
func (l decodeLoad) run(contended bool) (busiest float64, p99 time.Duration, far float64) {
	const slots, duration, warm = 64, 6 * time.Second, time.Second
	rng := rand.New(rand.NewPCG(2, 2))
	d := roster.NewDirectory()
	for i := range l.engines {
		d.Put(roster.Entry{Key: roster.Key{ID: wire.EndpointId(fmt.Sprintf("e%03d", i)), Born: 1}, Service: "s", Domain: wire.DomainName(fmt.Sprint(i % 3)), Stage: roster.Decode, Slots: slots})
	}
	list := d.View().Service("s")
	own, reported := make([][]int, l.instances), make([][]int, l.instances)
	next := make([]time.Duration, l.instances)
	for i := range own {
		own[i], reported[i] = make([]int, l.engines), make([]int, l.engines)
		next[i] = time.Duration(rng.Int64N(int64(l.report)))
	}
	sum, held := make([]int, l.engines), make([]int, l.engines)
	var ends []event
	var times []time.Duration
	sumMax, sumMean, sent := 0.0, 0.0, 0
	for t := time.Duration(0); t < duration; {
		t += time.Duration(rng.ExpFloat64() / l.perSecond * float64(time.Second))
		ends = slices.DeleteFunc(ends, func(x event) bool {
			if x.at > t {
				return false
			}
			own[x.instance][x.engine]--
			held[x.engine]--
			return true
		})
		for i := range next {
			for ; next[i] <= t; next[i] += l.report {
				for e := range l.engines {
					sum[e] += own[i][e] - reported[i][e]
				}
				copy(reported[i], own[i])
			}
		}
		in := rng.IntN(l.instances)
		for e, endpoint := range list {
			endpoint.SetPeerLoad(0, sum[e]-reported[in][e]+own[in][e])
		}
		domain := wire.DomainName(fmt.Sprint(rng.IntN(3)))
		p := NewPrompt(9000, 20, []Part{{Name: fmt.Sprint(rng.IntN(5 * l.engines)), Tokens: 8000}, {Name: "own", Tokens: 1000}})
		need := Need{Stage: roster.Decode, Contended: contended, TieBreak: rng.Uint64()}
		chosen := ChooseDecodeNearSource(list, &p, need, domain, time.Unix(1e9, 0))
		e := slices.Index(list, chosen)
		// Beyond the slots, a request waits for others: it takes longer in proportion.
		step := (5.95 + 0.0445*float64(min(held[e]+1, slots))) * max(1, float64(held[e]+1)/slots)
		took := time.Duration(float64(6+rng.IntN(20)) * step * float64(time.Millisecond))
		own[in][e]++
		held[e]++
		ends = append(ends, event{at: t + took, instance: in, engine: e})
		if t < warm {
			continue
		}
		times = append(times, took)
		sumMax += float64(slices.Max(held))
		sumMean += float64(len(ends)) / float64(l.engines)
		if chosen.Entry().Domain != domain {
			far++
		}
		sent++
	}
	slices.Sort(times)
	return sumMax / sumMean, times[len(times)*99/100], far / float64(sent)
}

// TestOldReportsDoNotOverloadDecodeEngines guards against instances that all send their requests to the decode engine with the fewest requests in
// the last reports.
func TestOldReportsDoNotOverloadDecodeEngines(t *testing.T) {
	for _, l := range []decodeLoad{
		{instances: 8, engines: 12, report: 50 * time.Millisecond, perSecond: 200},
		{instances: 8, engines: 12, report: 50 * time.Millisecond, perSecond: 1500},
		{instances: 80, engines: 60, report: 500 * time.Millisecond, perSecond: 700},
		{instances: 80, engines: 60, report: 500 * time.Millisecond, perSecond: 7000},
		{instances: 400, engines: 240, report: time.Second, perSecond: 3000},
	} {
		least, leastTime, leastFar := l.run(false)
		spread, spreadTime, spreadFar := l.run(true)
		t.Logf("%+v: least cost %.2f, %v, far %.2f; spread %.2f, %v, far %.2f", l, least, leastTime, leastFar, spread, spreadTime, spreadFar)
		if spread > least*1.1 || spreadTime > leastTime*11/10 {
			t.Errorf("%+v: the busiest engine has %.2f of the mean and a request takes %v, with the least cost %.2f and %v", l, spread, spreadTime, least, leastTime)
		}
	}
}
