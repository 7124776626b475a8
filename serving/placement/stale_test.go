package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// staleEngine prefills prompts one after the other and caches the shared parts that were used last.
type staleEngine struct {
	speed  float64
	idleAt time.Duration
	// lru holds the ids of the cached prefixes, the oldest first.
	lru   []roster.PartID
	size  map[roster.PartID]int
	used  int
	busy  time.Duration
	queue []time.Duration
}

// cacheTokens is how many tokens of shared parts an engine caches: three times what the prefixes of a load need on average.
const cacheTokens = 200_000

// touch records the use of shared parts and reports whether they were cached.
func (s *staleEngine) touch(id roster.PartID, tokens int) (hit bool) {
	if i := slices.Index(s.lru, id); i >= 0 {
		s.lru = append(slices.Delete(s.lru, i, i+1), id)
		return true
	}
	s.lru = append(s.lru, id)
	s.size[id] = tokens
	s.used += tokens
	for s.used > cacheTokens {
		s.used -= s.size[s.lru[0]]
		delete(s.size, s.lru[0])
		s.lru = s.lru[1:]
	}
	return false
}

// staleResult is what a simulation yields.
type staleResult struct {
	// busiest is the time for which the busiest engine worked, queues the mean queue of the engine with the longest, both relative to the
	// mean of all engines.
	busiest, queues float64
	// idle is the mean share of idle engines, counted while an engine has more than two prompts.
	idle float64
	// p99 is the 99th percentile of the wait before a prefill.
	p99 time.Duration
	// hits is the share of the shared tokens that were cached.
	hits float64
}

func (r staleResult) String() string {
	return fmt.Sprintf("%.2f | %.2f | %.3f | %d ms | %.3f", r.busiest, r.queues, r.idle, r.p99.Milliseconds(), r.hits)
}

// staleLoad is a load of prompts that arrive at instances which know the others' load from their last reports only.
type staleLoad struct {
	name               string
	instances, engines int
	// report is the interval of the reports of each instance.
	report time.Duration
	// speeds are the speeds of the engines in turn.
	speeds []float64
	// utilisation is the share of the engines' time that the prompts take if 97% of the shared tokens are cached.
	utilisation float64
	duration    time.Duration
	// prefixes is the number of different shared parts, some of which are in greater demand than others.
	prefixes int
	seed     uint64
}

// event is the end of a prefill.
type event struct {
	at       time.Duration
	instance int
	engine   int
	tokens   int
}

// run simulates the load.
func (l staleLoad) run(contended, learn bool) staleResult {
	rng := rand.New(rand.NewPCG(l.seed, 2))
	start := time.Unix(1e9, 0)
	d := roster.NewDirectory()
	for i := range l.engines {
		d.Put(roster.Entry{Key: roster.Key{ID: wire.EndpointId(fmt.Sprintf("e%03d", i)), Born: 1}, Service: "s", Domain: wire.DomainName(fmt.Sprint(i % 3)), Stage: roster.Prefill, Slots: 64})
	}
	list := d.View().Service("s")
	index := map[*roster.Endpoint]int{}
	sim := make([]*staleEngine, len(list))
	total := 0.0
	for i, e := range list {
		index[e] = i
		sim[i] = &staleEngine{speed: l.speeds[i%len(l.speeds)], size: map[roster.PartID]int{}}
		total += sim[i].speed
	}
	// Zipf weights of prefixes.
	cum := make([]float64, l.prefixes)
	lengths := make([]int, l.prefixes)
	sum := 0.0
	for i := range cum {
		sum += 1 / math.Pow(float64(i+4), 0.9)
		cum[i] = sum
		lengths[i] = []int{14500, 7800, 6000}[i%3] + rng.IntN(1500)
	}
	// Tokens per prompt if 97% of the shared ones are cached.
	perPrompt := 0.0
	for i := range cum {
		w := cum[i]
		if i > 0 {
			w -= cum[i-1]
		}
		perPrompt += w / sum * (0.03*float64(lengths[i]) + 2000)
	}
	perSecond := l.utilisation * total * prefillRate * 1000 / perPrompt
	// ownT and ownN are the tokens and requests of each instance at each engine, repT and repN those that it last reported.
	ownT := make([][]int, l.instances)
	ownN := make([][]int, l.instances)
	repT := make([][]int, l.instances)
	repN := make([][]int, l.instances)
	for i := range ownT {
		ownT[i], ownN[i] = make([]int, l.engines), make([]int, l.engines)
		repT[i], repN[i] = make([]int, l.engines), make([]int, l.engines)
	}
	sumT, sumN := make([]int, l.engines), make([]int, l.engines)
	nextReport := make([]time.Duration, l.instances)
	for i := range nextReport {
		nextReport[i] = time.Duration(rng.Int64N(int64(l.report)))
	}
	var ends []event
	type record struct {
		at time.Duration
		e  *roster.Endpoint
		id roster.PartID
	}
	var records []record
	var waits []time.Duration
	var hitTokens, sharedTokens float64
	idleSum, idleN := 0.0, 0
	queueSum := make([]float64, l.engines)
	nextSample := 2 * time.Second
	warm := l.duration / 3
	t := time.Duration(0)
	advance := func(to time.Duration) {
		for i := range nextReport {
			for nextReport[i] <= to {
				for e := range l.engines {
					sumT[e] += ownT[i][e] - repT[i][e]
					sumN[e] += ownN[i][e] - repN[i][e]
				}
				copy(repT[i], ownT[i])
				copy(repN[i], ownN[i])
				nextReport[i] += l.report
			}
		}
	}
	for t < l.duration {
		burst := 0.8
		if (t/(2800*time.Millisecond))%2 == 1 {
			burst = 1.2
		}
		t += time.Duration(rng.ExpFloat64() / (perSecond * burst) * float64(time.Second))
		now := start.Add(t)
		ends = slices.DeleteFunc(ends, func(x event) bool {
			if x.at > t {
				return false
			}
			ownT[x.instance][x.engine] -= x.tokens
			ownN[x.instance][x.engine]--
			return true
		})
		advance(t)
		for len(records) > 0 && records[0].at <= t {
			records[0].e.RecordParts([]roster.PartID{records[0].id}, now)
			records = records[1:]
		}
		for nextSample < t {
			if nextSample > warm {
				waiting, idle := false, 0
				for i, s := range sim {
					s.queue = slices.DeleteFunc(s.queue, func(x time.Duration) bool { return x <= nextSample })
					queueSum[i] += float64(len(s.queue))
					waiting = waiting || len(s.queue) > 2
					if len(s.queue) == 0 {
						idle++
					}
				}
				if waiting {
					idleSum += float64(idle) / float64(len(sim))
				}
				idleN++
			}
			nextSample += 20 * time.Millisecond
		}
		x := rng.Float64() * sum
		pre, _ := slices.BinarySearch(cum, x)
		shared, private := lengths[pre], 500+rng.IntN(3000)
		p := NewPrompt(shared+private, 20, []Part{{Name: fmt.Sprint(pre), Tokens: shared}, {Name: "own", Tokens: private}})
		in := rng.IntN(l.instances)
		for i, e := range list {
			e.SetPeerLoad(sumT[i]-repT[in][i]+ownT[in][i], sumN[i]-repN[in][i]+ownN[in][i])
		}
		need := Need{Stage: roster.Prefill, Near: wire.DomainName(fmt.Sprint(in % 3)), Contended: contended, TieBreak: rng.Uint64()}
		e := ChoosePrefill(list, &p, need, now)
		i := index[e]
		s := sim[i]
		id := p.SharedPrefix()
		unread := p.UncachedTokens(e.CachedParts(p.IDs, now))
		queued := e.PrefillLoad()
		hit := s.touch(id, shared)
		read := shared + private
		if hit {
			read = private
		}
		began := max(t, s.idleAt)
		took := time.Duration(float64(read) / (prefillRate * s.speed) * float64(time.Millisecond))
		s.idleAt = began + took
		s.queue = append(s.queue, s.idleAt)
		if learn {
			ObservePrefill(e, queued, unread, s.idleAt-t, "", now)
		}
		ownT[in][i] += unread
		ownN[in][i]++
		ends = append(ends, event{s.idleAt, in, i, unread})
		records = append(records, record{t + l.report/2, e, id})
		if t > warm {
			s.busy += took
			waits = append(waits, began-t)
			sharedTokens += float64(shared)
			if hit {
				hitTokens += float64(shared)
			}
		}
	}
	var r staleResult
	busy, busiest, q, qmax := 0.0, 0.0, 0.0, 0.0
	for i, s := range sim {
		busy += float64(s.busy)
		busiest = max(busiest, float64(s.busy))
		q += queueSum[i]
		qmax = max(qmax, queueSum[i])
	}
	n := float64(len(sim))
	slices.Sort(waits)
	r.busiest, r.queues, r.idle = busiest/(busy/n), qmax/(q/n), idleSum/float64(idleN)
	r.p99 = waits[len(waits)*99/100]
	r.hits = hitTokens / sharedTokens
	return r
}
