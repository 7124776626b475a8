package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const badPart = "badc0de5"

// poisonOptions are the variants of the cases about a prompt part that crashes replicas.
type poisonOptions struct {
	// sameID is set if a replica starts again under its id, and its entry is renewed by its next heartbeat.
	sameID bool
	// eventsBefore is how many events a replica writes before it crashes.
	eventsBefore int
	// every is the time between two requests with the part, soundEvery that between two other requests.
	every, soundEvery time.Duration
	down, length      time.Duration
	// herdKills are the times, from the first request with the part, at which all routers are killed at once.
	herdKills []time.Duration
}

// writersConfig is a configuration with one resumable streaming route to model replicas.
func writersConfig() []byte {
	return []byte(fmt.Sprintf(`{"version":7,"routes":[{"name":"r-query","host":%q,"path_prefix":"/query/",`+
		`"kind":"streaming","timeout_ms":8000,"goal_ms":400,"priority":0,"service":"writers","max_attempts":2,"public":false,"sticky":true,"can_resume":true,"gap_target_ms":150}],`+
		`"services":[{"name":"writers","health_path":"/health","max_conns":370,"engine":{"slots":64,"kv_capacity":484150,"kv_token_bytes":163840,"kv_hold_s":5.0,"swap_s":3.0}}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"hule930","api_keys":[%q]}]}`, host, key))
}

func casePoison(o poisonOptions) {
	const contact = 3 * time.Second
	zones := []string{"za", "zb", "zc"}
	w := newWorld(rec, zones...)
	w.store.put("op", "config", writersConfig())

	var mu sync.Mutex
	var crashes []time.Time
	type arrival struct {
		at     time.Time
		id, to string
	}
	var arrivals []arrival
	serial := 0x7f3a9100
	normal := stream(10, 60*time.Millisecond, 60*time.Millisecond)
	for _, zone := range zones {
		for _, stage := range []string{"prefill", "prefill", "decode"} {
			serial++
			r := &replica{id: fmt.Sprintf("i-%08x", serial), service: "writers", zone: zone, stage: stage, slots: 64, queue: 192, store: w.store, rec: rec}
			r.run = func(c *call) bool {
				if !strings.Contains(c.req.Header.Get("Cowslipshunt-Prompt-Prefix"), badPart) {
					return normal(c)
				}
				mu.Lock()
				arrivals = append(arrivals, arrival{time.Now(), c.id, c.rep.id})
				mu.Unlock()
				if !trouble {
					return normal(c)
				}
				if !c.sleep(60*time.Millisecond) || !c.beginStream() {
					return false
				}
				for n := 1; n <= o.eventsBefore; n++ {
					c.event(n)
					c.sleep(60 * time.Millisecond)
				}
				c.rep.crash()
				rec.add("%s: crashes on %s", c.rep.id, c.id)
				mu.Lock()
				crashes = append(crashes, time.Now())
				if !o.sameID {
					old := c.rep.id
					serial++
					c.rep.mu.Lock()
					c.rep.id = fmt.Sprintf("i-%08x", serial)
					c.rep.mu.Unlock()
					time.AfterFunc(3*heartbeat, func() { w.store.remove("servers", old) })
				}
				mu.Unlock()
				time.AfterFunc(o.down, func() {
					c.rep.start()
					rec.add("%s: starts again (start %d)", c.rep.id, c.rep.incarnation())
					if !o.sameID {
						c.rep.beat()
					}
				})
				return false
			}
			r.start()
			go r.beatForever()
		}
	}
	for _, zone := range zones[:2] {
		w.addRouter(zone)
	}
	w.waitReady()
	time.Sleep(4 * time.Second)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	sound, soundOK := 0, 0
	one := func(i int, prefix string, id string) *result {
		r := w.routers[i%len(w.routers)]
		conn, err := dialRouter(r)
		if err != nil {
			return nil
		}
		defer conn.close()
		res := conn.do(request{id: id, method: "POST", path: "/query/2f", deadline: 6 * time.Second, body: []byte("question"), headers: []string{
			"Cowslipshunt-Model: m", "Cowslipshunt-Token-Count: 600,30", "Cowslipshunt-Prompt-Prefix: " + prefix}})
		rec.add("%s by %s: %s", id, r.name, res)
		return res
	}
	loop := func(every time.Duration, f func(i int)) {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(every):
				}
				wg.Go(func() { f(i) })
			}
		})
	}
	loop(o.soundEvery, func(i int) {
		res := one(i, fmt.Sprintf("5c1e07a2:200,91bd%04x:200,e4%06x:200", i%6, i), newID("s"))
		mu.Lock()
		defer mu.Unlock()
		sound++
		if res != nil && res.complete && res.status == 200 {
			soundOK++
		}
	})
	time.Sleep(5 * time.Second)
	loop(o.every, func(i int) {
		one(i, fmt.Sprintf("5c1e07a2:200,%s:200,f7%06x:200", badPart, i), newID("p"))
	})
	begin := time.Now()
	ready := make(map[*routerProcess]time.Time)
	for _, at := range o.herdKills {
		time.Sleep(time.Until(begin.Add(at)))
		if !trouble {
			continue
		}
		for _, r := range w.routers {
			r.signal(syscall.SIGKILL)
		}
		for _, r := range w.routers {
			<-r.exited
		}
		time.Sleep(500 * time.Millisecond)
		for _, r := range w.routers {
			r.start()
			ready[r] = time.Now()
		}
	}
	time.Sleep(time.Until(begin.Add(o.length)))
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 5 {
		for _, a := range arrivals {
			if a.at.Sub(crashes[4]) <= contact {
				continue
			}
			inTouch := true
			for _, at := range o.herdKills {
				if k := begin.Add(at); a.at.After(k) && a.at.Before(k.Add(500*time.Millisecond+contact)) {
					inTouch = false
				}
			}
			if inTouch {
				late++
				rec.add("%s reached %s %d ms after the fifth crash", a.id, a.to, a.at.Sub(crashes[4]).Milliseconds())
			}
		}
	}
	verdict(late > 3, "%d requests with the part reached replicas later than contact_ms after the fifth crash (at most 3 allowed); %d crashes, %d arrivals; %d of %d other requests were answered",
		late, len(crashes), len(arrivals), soundOK, sound)
}

func init() {
	base := poisonOptions{every: time.Second, soundEvery: 150 * time.Millisecond, down: 2 * time.Second, length: 40 * time.Second}
	// The replicas crash before their first event.
	cases["poison"] = func() { casePoison(base) }
	event := base
	event.eventsBefore = 1
	cases["poison-event"] = func() { casePoison(event) }
	// A replica starts again under its id.
	same := base
	same.sameID = true
	cases["poison-same-id"] = func() { casePoison(same) }
	// All routers are killed together.
	herd := base
	herd.every, herd.length = 4500*time.Millisecond, 56*time.Second
	herd.herdKills = []time.Duration{13900 * time.Millisecond, 27400 * time.Millisecond, 40900 * time.Millisecond}
	cases["poison-herd"] = func() { casePoison(herd) }
}
