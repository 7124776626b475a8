package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// caseStop: one of two routers gets SIGTERM while clients stream answers on kept connections and go on with their next request as soon as
// an answer is complete.
func caseStop() {
	const (
		clients  = 16
		events   = 30
		gap      = 140 * time.Millisecond
		deadline = 8 * time.Second
		grace    = 8 * time.Second
	)
	w := newWorld(rec, "za", "zb")
	w.store.put("op", "config", writersConfig(7, idleTimeout, false))
	for i, zone := range []string{"za", "za", "zb", "zb"} {
		stage := []string{"prefill", "decode"}[i%2]
		r := &replica{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: "writers", zone: zone, stage: stage, slots: 64, queue: 192,
			run: stream(events, 60*time.Millisecond, gap), store: w.store, rec: rec}
		r.start()
		go r.beatForever()
	}
	w.addRouter("za")
	w.addRouter("zb")
	w.waitReady()
	time.Sleep(4 * time.Second)

	stopped := make(chan struct{})
	var mu sync.Mutex
	var results []*result
	var wg sync.WaitGroup
	r := w.routers[0]
	for i := range clients {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * (events * gap) / clients)
			var conn *clientConn
			for {
				select {
				case <-stopped:
					return
				default:
				}
				if conn == nil {
					var err error
					if conn, err = dialRouter(r); err != nil {
						// The platform sends new connections to the other machine.
						return
					}
				}
				id := newID("s")
				res := conn.do(query(id, fmt.Sprintf("5c1e07a2:200,91bd%04x:400", i), "600,30", deadline))
				rec.add("%s by %s: %s, answer says close %v", id, r.name, res, res.closes)
				mu.Lock()
				results = append(results, res)
				mu.Unlock()
				if !res.complete || res.closes {
					conn.close()
					conn = nil
				}
				if !res.complete && trouble {
					return
				}
			}
		})
	}
	time.Sleep(3 * events * gap / 2)
	sigterm := time.Now()
	if trouble {
		r.signal(syscall.SIGTERM)
	}
	time.Sleep(grace)
	if trouble {
		rec.add("grace_s is over")
		r.kill()
	}
	close(stopped)
	wg.Wait()
	lost, complete := 0, 0
	for _, x := range results {
		if x.complete {
			complete++
			continue
		}
		at := x.sent.Sub(sigterm)
		counted := passedOn(x.id) && x.ended.Sub(x.sent) < deadline && x.ended.Sub(sigterm) < grace+time.Second && at > 3*time.Second
		rec.add("%s: sent %d ms after SIGTERM, %s; counts: %v", x.id, at.Milliseconds(), x, counted)
		if counted {
			fmt.Printf("%s: sent %d ms after SIGTERM, %d bytes arrived, cut %d ms after SIGTERM\n", x.id, at.Milliseconds(), x.bytes, x.ended.Sub(sigterm).Milliseconds())
			lost++
		}
	}
	verdict(lost > 0, "%d requests that were sent later than 3 s after SIGTERM were passed on to a replica and cut without a complete answer (none allowed); %d answers were complete", lost, complete)
}

func init() { cases["stop"] = caseStop }
