package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"cowslipshunt.example/platform/wire"
)

// caseEntry: another writer leaves an entry under the id of a replica. It lacks fields that each entry has, and names another service.
func caseEntry() {
	const (
		every    = 25 * time.Millisecond
		deadline = time.Second
		length   = 8 * time.Second
	)
	w := newWorld(rec, "za", "zb")
	w.store.put("op", "config", config(7, idleTimeout, []wire.Service{plainService("desk"), plainService("archive")},
		onceRoute("r-desk", "/desk/", "desk", deadline, 100), onceRoute("r-archive", "/archive/", "archive", deadline, 100)))
	var mu sync.Mutex
	foreign := 0
	var desk []*replica
	for i, service := range []string{"desk", "desk", "desk", "archive", "archive", "archive"} {
		r := &replica{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: service, zone: w.zones[i%2], slots: 6, queue: 24, store: w.store, rec: rec}
		work := answerAfter(15 * time.Millisecond)
		r.run = func(c *call) bool {
			if !strings.HasPrefix(c.req.URL.Path, "/"+c.rep.service+"/") {
				rec.add("%s: %s %s runs at %s, a replica of %s", c.id, c.req.Method, c.req.URL.Path, c.rep.id, c.rep.service)
				mu.Lock()
				foreign++
				mu.Unlock()
			}
			return work(c)
		}
		if service == "desk" {
			desk = append(desk, r)
		}
		r.start()
		go r.beatForever()
	}
	w.addRouter("za")
	w.addRouter("zb")
	w.waitReady()
	time.Sleep(time.Second)

	var wg sync.WaitGroup
	answered, wrong := 0, 0
	begin := time.Now()
	written := false
	for i := 0; time.Since(begin) < length; i++ {
		if !written && time.Since(begin) > length/2 {
			written = true
			if trouble {
				value, _ := json.Marshal(map[string]any{"service": "archive", "address": desk[0].address, "zone": "za", "slots": 6, "state": "ready"})
				rec.add("another writer writes servers/%s: %s", desk[0].id, value)
				w.store.put("servers", desk[0].id, value)
			}
		}
		wg.Go(func() {
			r := w.routers[i%2]
			conn, err := dialRouter(r)
			if err != nil {
				return
			}
			defer conn.close()
			id := newID("a")
			res := conn.do(request{id: id, method: http.MethodPost, path: []string{"/archive/2f", "/desk/2f"}[i/2%2], deadline: deadline, body: []byte("x")})
			rec.add("%s by %s: %s", id, r.name, res)
			mu.Lock()
			defer mu.Unlock()
			if res.complete && res.status == http.StatusOK {
				answered++
			} else {
				wrong++
			}
		})
		time.Sleep(every)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	verdict(foreign > 0, "%d requests were run by a service to which no configuration allows them to go (none allowed); %d answered with 200, %d otherwise", foreign, answered, wrong)
}

func init() { cases["entry"] = caseEntry }
