package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cowslipshunt.example/platform/platformtest"
)

// contact is contact_ms.
const contact = 3 * time.Second

// deadlyPart is the prompt part that crashes each engine which begins to write an answer on it.
const deadlyPart = "dead01"

// firstPart returns the first part of a prompt, that of one of some applications.
func firstPart() string {
	return fmt.Sprintf("a%d", rand.IntN(12))
}

// arrival is a request with the deadly part that reached an engine.
type arrival struct {
	id string
	at time.Time
}

// tainted is a deployment whose engines crash on one prompt part.
type tainted struct {
	*world
	// down is how long an engine is away after a crash; nextID returns the id of its next incarnation.
	down   time.Duration
	nextID func(id string) string

	// lag is how long after its start such an incarnation writes its entry.
	lag time.Duration
	// harmless is set if the part crashes no engine.
	harmless bool
	// first is how long an engine works on a request before it begins to write.
	first time.Duration

	mu       sync.Mutex
	arrivals []arrival
	crashes  []time.Time
	// sent are the times at which the requests with the part were sent, and whether the router was in touch then.
	sent map[string]sentRequest
	// served, broken and refused count the sound requests that were answered whole, that broke off after they had begun, and the others.
	served, broken, refused atomic.Int64
	count                   atomic.Int64
}

type sentRequest struct {
	at      time.Time
	inTouch bool
}

func newTainted(rec *record, routers, prefill, decode int, down, lag time.Duration, nextID func(id string) string) *tainted {
	t := &tainted{world: newWorld(rec), down: down, lag: lag, nextID: nextID, first: 150 * time.Millisecond, sent: map[string]sentRequest{}}
	for z, zone := range zones {
		for range prefill {
			t.addServer("models", "prefill", zone, fmt.Sprintf("127.0.%d.2", 1+z), t.serve)
		}
		for range decode {
			t.addServer("models", "decode", zone, fmt.Sprintf("127.0.%d.2", 1+z), t.serve)
		}
	}
	for _, s := range t.servers {
		s.lag = lag
	}
	t.store.Put("op", "config", configurationText)
	for n := range routers {
		t.addRouter(n).start(true)
	}
	t.awaitReady()
	return t
}

// serve answers as an engine does. One with the deadly part crashes it as it begins to write.
func (t *tainted) serve(s *server, w http.ResponseWriter, r *http.Request) {
	id := platformtest.RequestID(r.Header)
	deadly := platformtest.HasPromptPart(r.Header, deadlyPart)
	if deadly {
		t.mu.Lock()
		t.arrivals = append(t.arrivals, arrival{id: id, at: time.Now()})
		t.mu.Unlock()
		t.rec.add("server %s runs %s, which has the deadly part", s.id, id)
	}
	if !deadly || t.harmless {
		stream(w, r, 15, t.first, 40*time.Millisecond)
		return
	}
	select {
	case <-time.After(t.first):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(words.Seal, "3e1b.07.5a2.600.0.c9f2a4d1")
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprint(w, "id: 1\ndata: to")
	_ = http.NewResponseController(w).Flush()
	if s.crash(t.down, t.nextID) {
		t.mu.Lock()
		t.crashes = append(t.crashes, time.Now())
		t.mu.Unlock()
	}
}

// soundTraffic sends requests without the part, a number of them each second, until ctx ends.
func (t *tainted) soundTraffic(ctx context.Context, perSecond int) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		go func() {
			n := t.count.Add(1)
			rt := t.routers[rand.IntN(len(t.routers))]
			a := send(ctx, rt, http.MethodPost, "/query/2f", fmt.Sprintf("%016x", n), "key-hule", 8*time.Second,
				prompt(firstPart(), fmt.Sprintf("b%d", rand.IntN(20)), fmt.Sprintf("c%d", n)), "x")
			switch {
			case ctx.Err() != nil:
			case a.status == http.StatusOK && a.err == nil:
				t.served.Add(1)
			case a.status == http.StatusOK:
				t.broken.Add(1)
				t.rec.add("sound request %016x, sent to %s, broke off after %d bytes: %v", n, rt.name, len(a.body), a.err)
			default:
				t.refused.Add(1)
				t.rec.add("sound request %016x, sent to %s, answered: status %d, %v", n, rt.name, a.status, a.err)
			}
		}()
	}
}

// sendDeadly sends one request of any application with the deadly part to any machine and waits for its end.
func (t *tainted) sendDeadly() {
	t.sendPrompt(firstPart(), deadlyPart)
}

// sendPrompt sends one request with the deadly part, whose prompt begins with some parts, to any machine and waits for its end.
func (t *tainted) sendPrompt(parts ...string) {
	n := t.count.Add(1)
	id := fmt.Sprintf("%016x", n)
	rt := t.routers[rand.IntN(len(t.routers))]
	now := time.Now()
	touch := rt.inTouch(now, contact)
	t.mu.Lock()
	t.sent[id] = sentRequest{at: now, inTouch: touch}
	t.mu.Unlock()
	t.rec.add("request %s with the deadly part sent to %s, in touch: %t", id, rt.name, touch)
	a := send(context.Background(), rt, http.MethodPost, "/query/2f", id, "key-hule", 8*time.Second, prompt(append(parts, fmt.Sprintf("c%d", n))...), "x")
	t.rec.add("request %s answered: status %d, %v", id, a.status, a.err)
}

// burst sends requests with the deadly part, a moment apart.
func (t *tainted) burst(n int, apart time.Duration) {
	var group sync.WaitGroup
	for range n {
		group.Go(t.sendDeadly)
		time.Sleep(apart)
	}
	group.Wait()
}

// judge counts the requests that count against the rule: those that machines in touch sent later than contact after the fifth crash, and that
// reached a server.
func (t *tainted) judge() (broken bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rec.add("%d crashes; sound requests: %d answered whole, %d broken off midway, %d refused or failed", len(t.crashes), t.served.Load(), t.broken.Load(),
		t.refused.Load())
	if len(t.crashes) < 5 {
		t.rec.add("fewer than five crashes: no request counts")
		return false
	}
	fifth := t.crashes[4]
	counted := map[string]bool{}
	for _, a := range t.arrivals {
		s := t.sent[a.id]
		if s.inTouch && s.at.After(fifth.Add(contact)) && a.at.After(fifth.Add(contact)) {
			counted[a.id] = true
			t.rec.add("counts: %s, sent %.3f s after the fifth crash, reached a server", a.id, s.at.Sub(fifth).Seconds())
		}
	}
	t.rec.add("%d requests with the part count; more than 3 break the rule", len(counted))
	return len(counted) > 3
}

// playReborn lets the engines that crash start again under the id that they had. Without the trouble they come back under new ids.
func playReborn(rec *record, trouble bool) bool {
	const (
		requests = 16
		apart    = 4 * time.Second
		down     = 1400 * time.Millisecond
	)
	next, lag := func(id string) string { return id }, heartbeat*3/4
	if !trouble {
		next, lag = func(string) string { return newID() }, 0
	}
	t := newTainted(rec, 8, 3, 1, down, lag, next)
	defer t.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go t.soundTraffic(ctx, 70)
	time.Sleep(8 * time.Second)
	for range requests {
		began := time.Now()
		t.sendDeadly()
		time.Sleep(apart - time.Since(began))
	}
	return t.judge()
}

// playBatches sends the requests with the part in batches, all of a batch at the same moment. Without the trouble no part crashes an engine.
func playBatches(rec *record, trouble bool) bool {
	const (
		batch   = 16
		batches = 3
		pause   = 8 * time.Second
	)
	t := newTainted(rec, 3, 6, 3, 4*time.Second, 0, func(string) string { return newID() })
	defer t.close()
	t.harmless = !trouble
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go t.soundTraffic(ctx, 20)
	time.Sleep(8 * time.Second)
	for range batches {
		t.burst(batch, 0)
		time.Sleep(pause)
	}
	return t.judge()
}

// playDocuments sends requests with the part in series. Those of a series share one more part, a document, which no other requests have. Without
// the trouble no part crashes an engine.
func playDocuments(rec *record, trouble bool) bool {
	const (
		documents = 6
		series    = 4
		apart     = 900 * time.Millisecond
	)
	t := newTainted(rec, 3, 6, 3, 4*time.Second, 0, func(string) string { return newID() })
	defer t.close()
	t.harmless = !trouble
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go t.soundTraffic(ctx, 20)
	time.Sleep(8 * time.Second)
	for d := range documents {
		for range series {
			began := time.Now()
			t.sendPrompt(deadlyPart, fmt.Sprintf("d%d", d))
			time.Sleep(apart - time.Since(began))
		}
	}
	return t.judge()
}
