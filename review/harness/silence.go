package main

import (
	"fmt"
	"sync"
	"time"
)

// caseSilence: one of two model replicas that decode falls silent for a moment and goes on, while both have work and a configuration comes
// into force.
func caseSilence() {
	const (
		clients  = 32
		events   = 40
		gap      = 100 * time.Millisecond
		silence  = 1200 * time.Millisecond
		deadline = 8 * time.Second
		// planned is how long after its acknowledgement a configuration counts as planned work: config_apply_ms and a second.
		planned = 3 * time.Second
		// mostUsed is the part of its time that a cut request may have used to count.
		mostUsed = 0.7
	)
	w := newWorld(rec, "za", "zb")
	w.store.put("op", "config", writersConfig(7, idleTimeout, false))
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
				res := conn.do(query(id, fmt.Sprintf("5c1e07a2:200,91bd%04x:400", i), "600,40", deadline))
				res.router = r
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
	var changed, acknowledged time.Time
	if trouble {
		changed = time.Now()
		w.store.put("op", "config", writersConfig(9, 12*time.Second, false))
		acknowledged = time.Now()
		rec.add("the configuration changes: idle_timeout_ms 12000, version 9")
		time.Sleep(300 * time.Millisecond)
		mu.Lock()
		silentFrom, silentUntil = time.Now(), time.Now().Add(silence)
		mu.Unlock()
		rec.add("%s falls silent for %s", first.id, silence)
	}
	time.Sleep(8 * time.Second)
	close(stopped)
	wg.Wait()
	complete, refused := 0, 0
	during, otherwise := map[*routerProcess]int{}, map[*routerProcess]int{}
	for _, x := range results {
		switch {
		case x.complete && x.status == 200:
			complete++
		case x.complete:
			refused++
		case passedOn(x.id) && x.ended.Sub(x.sent) < time.Duration(mostUsed*float64(deadline)):
			if !changed.IsZero() && x.ended.After(changed) && x.ended.Before(acknowledged.Add(planned)) {
				during[x.router]++
			} else {
				otherwise[x.router]++
			}
		}
	}
	lost := 0
	for _, r := range w.routers {
		window, rest := acknowledged.Add(planned).Sub(changed).Seconds(), (18 * time.Second).Seconds()
		often := float64(during[r])/window > 3*float64(otherwise[r])/rest
		rec.add("%s: %d streams cut beside the configuration, %d at other times; over three times as often: %v", r.name, during[r], otherwise[r], often)
		if often {
			lost += during[r]
		}
	}
	verdict(lost > 0, "%d streams were passed on to sound replicas and cut without a complete answer beside a configuration (none allowed); %d complete, %d refused", lost, complete, refused)
}

func init() { cases["silence"] = caseSilence }
