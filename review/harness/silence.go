package main

import (
	"fmt"
	"sync"
	"time"
)

// caseSilence: one of two model replicas that decode falls silent for a moment and goes on, while both have work.
func caseSilence() {
	const (
		clients  = 32
		events   = 40
		gap      = 100 * time.Millisecond
		silence  = 1200 * time.Millisecond
		deadline = 8 * time.Second
	)
	w := newWorld(rec, "za", "zb")
	w.store.put("op", "config", writersConfig())
	var mu sync.Mutex
	var silentFrom, silentUntil time.Time
	normal := func(c *call) bool { return stream(events, 60*time.Millisecond, 0)(c) }
	var first *replica
	step := func(c *call) { c.sleep(time.Until(time.Now().Truncate(gap).Add(gap))) }
	for i, zone := range []string{"za", "za", "zb", "zb"} {
		stage := []string{"prefill", "decode"}[i%2]
		r := &replica{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: "writers", zone: zone, stage: stage, slots: 16, queue: 4, store: w.store, rec: rec, run: normal}
		// A replica makes the tokens of all its requests in common steps.
		r.pause = step
		if i == 1 {
			first = r
		}
		r.start()
		go r.beatForever()
	}
	first.pause = func(c *call) {
		step(c)
		mu.Lock()
		until := silentUntil
		began := silentFrom
		mu.Unlock()
		if !began.IsZero() && time.Now().Before(until) {
			c.sleep(time.Until(until))
		}
	}
	w.addRouter("za")
	w.addRouter("zb")
	w.waitReady()
	time.Sleep(15 * time.Second)

	stopped := make(chan struct{})
	var results []*result
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * (events * gap) / clients)
			r := w.routers[i%2]
			var conn *clientConn
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				default:
				}
				if conn == nil {
					var err error
					if conn, err = dialRouter(r); err != nil {
						return
					}
				}
				id := newID("s")
				res := conn.do(request{id: id, method: "POST", path: "/query/2f", deadline: deadline, body: []byte("question"), headers: []string{
					"Cowslipshunt-Model: m", "Cowslipshunt-Token-Count: 600,40", fmt.Sprintf("Cowslipshunt-Prompt-Prefix: 5c1e07a2:200,91bd%04x:400", i)}})
				rec.add("%s by %s: %s", id, r.name, res)
				mu.Lock()
				results = append(results, res)
				mu.Unlock()
				if !res.complete || res.closes {
					conn.close()
					conn = nil
				}
				if res.status == 503 {
					time.Sleep(500 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(10 * time.Second)
	if trouble {
		mu.Lock()
		silentFrom, silentUntil = time.Now(), time.Now().Add(silence)
		mu.Unlock()
		rec.add("%s falls silent for %s", first.id, silence)
	}
	time.Sleep(8 * time.Second)
	close(stopped)
	wg.Wait()
	lost, refused, ok := 0, 0, 0
	for _, x := range results {
		switch {
		case x.complete && x.status == 200:
			ok++
		case x.complete:
			refused++
		case x.onKept && passedOn(x.id) && x.ended.Sub(x.sent) < deadline:
			lost++
		}
	}
	verdict(lost > 3, "%d streams on kept connections were passed on to sound replicas and their connections closed without a complete answer (at most 3 allowed); %d complete, %d refused", lost, ok, refused)
}

func init() { cases["silence"] = caseSilence }
