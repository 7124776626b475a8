package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"cowslipshunt.example/platform/wire"
)

// caseMemory: clients upload bodies of the largest size that the configuration allows, and a burst of them comes. The platform kills a
// process that exceeds its memory.
func caseMemory() {
	const (
		perSecond = 10.0
		burstX    = 1.9
		burstFor  = 14 * time.Second
		work      = 1500 * time.Millisecond
		deadline  = 10 * time.Second
		steady    = 8 * time.Second
	)
	w := newWorld(rec, "za")
	w.store.put("op", "config", config(7, idleTimeout, []wire.Service{plainService("uploads")}, onceRoute("r-upload", "/upload/", "uploads", deadline, 3000)))
	for i := range 3 {
		r := &replica{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: "uploads", zone: "za", slots: 6, queue: 24, run: answerAfter(work), store: w.store, rec: rec}
		r.start()
		go r.beatForever()
	}
	for range 2 {
		w.addRouter("za")
	}
	w.waitReady()
	time.Sleep(time.Second)

	kills, peaks := make([]int, len(w.routers)), make([]int, len(w.routers))
	done := make(chan struct{})
	var watchers sync.WaitGroup
	for i, r := range w.routers {
		watchers.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				used := r.memory()
				peaks[i] = max(peaks[i], used)
				if used > memoryMB<<20 {
					rec.add("%s: uses %d MB, more than its limit of %d MB: the platform kills it", r.name, used>>20, memoryMB)
					kills[i]++
					r.signal(syscall.SIGKILL)
					<-r.exited
					time.Sleep(300 * time.Millisecond)
					r.start()
				}
			}
		})
	}

	pools := make([]connPool, len(w.routers))
	body := make([]byte, maxBody)
	for i := range body {
		body[i] = byte('a' + i%26)
	}
	var mu sync.Mutex
	answered, refused, lost, unread, late := 0, 0, 0, 0, 0
	var requests sync.WaitGroup
	send := func(n int) {
		i := n % len(w.routers)
		r := w.routers[i]
		conn := pools[i].get()
		if conn == nil {
			var err error
			if conn, err = dialRouter(r); err != nil {
				mu.Lock()
				unread++
				mu.Unlock()
				return
			}
			// The connection is a kept one: it has carried a short request before.
			warm := conn.do(request{id: newID("w"), method: "POST", path: "/upload/1", deadline: deadline, body: []byte("x")})
			if !warm.complete || warm.closes {
				conn.close()
				mu.Lock()
				unread++
				mu.Unlock()
				return
			}
		}
		id := newID("u")
		res := conn.do(request{id: id, method: "POST", path: "/upload/2", deadline: deadline, body: body})
		rec.add("%s by %s: %s", id, r.name, res)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case res.complete && res.status == 200:
			answered++
		case res.complete:
			refused++
		case res.ended.Sub(res.sent) >= deadline:
			late++
		case passedOn(id):
			lost++
		default:
			unread++
		}
		if res.complete && !res.closes {
			pools[i].put(conn)
		} else {
			conn.close()
		}
	}
	play := func(rate float64, d time.Duration) {
		n := 0
		for begin := time.Now(); time.Since(begin) < d; n++ {
			requests.Go(func() { send(n) })
			time.Sleep(time.Until(begin.Add(time.Duration(float64(n+1) / rate * float64(time.Second)))))
		}
	}
	rec.add("traffic: %.1f uploads a second of %d bytes", perSecond, maxBody)
	play(perSecond, steady)
	if trouble {
		rec.add("burst: x %.1f for %s", burstX, burstFor)
		play(perSecond*burstX, burstFor)
		rec.add("burst ends")
	} else {
		play(perSecond, burstFor)
	}
	play(perSecond, steady/2)
	requests.Wait()
	close(done)
	watchers.Wait()
	total := 0
	for i, r := range w.routers {
		rec.add("%s: peak %d MB, killed for its memory %d times", r.name, peaks[i]>>20, kills[i])
		fmt.Printf("%s: peak %d MB of %d MB, killed for its memory %d times\n", r.name, peaks[i]>>20, memoryMB, kills[i])
		total += kills[i]
	}
	verdict(lost > 3, "%d requests on kept connections were passed on to sound replicas and their connections closed without an answer (at most 3 allowed); "+
		"%d answered, %d refused, %d not read or not passed on, %d without an answer at their deadline; %d kills for memory", lost, answered, refused, unread, late, total)
}

func init() { cases["memory"] = caseMemory }
