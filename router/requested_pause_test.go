package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
)

// pausingEndpoint answers its first request late, rejects the second one with a request for a pause, and serves all others.
type pausingEndpoint struct {
	pause, late time.Duration

	mu       sync.Mutex
	n        int
	asked    time.Time
	arrivals []time.Time
}

func (p *pausingEndpoint) respond(r *http.Request, body []byte) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.n++
	n := p.n
	p.arrivals = append(p.arrivals, time.Now())
	switch n {
	case 1:
		p.mu.Unlock()
		<-time.After(p.late)
		p.mu.Lock()
	case 2:
		p.asked = time.Now()
		return platformtest.RetryAfter(platformtest.Rejection(r, http.StatusServiceUnavailable), fmt.Sprintf("%.3f", p.pause.Seconds())), true
	}
	return respondDone(r, body)
}

// state returns when the endpoint asked for the pause, and how many requests reached it between half a second after that and the end of the
// pause, and after the pause.
func (p *pausingEndpoint) state() (asked time.Time, during, after int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.arrivals {
		switch since := at.Sub(p.asked); {
		case p.asked.IsZero():
		case since >= p.pause:
			after++
		case since > 500*time.Millisecond:
			during++
		}
	}
	return p.asked, during, after
}

// TestEndpointThatAsksForAPauseGetsNoRequests guards against requests to an endpoint that answered 503 and said for how long it wants none,
// from many clients, beside an older request that succeeds during the pause. It gets requests again after the pause.
func TestEndpointThatAsksForAPauseGetsNoRequests(t *testing.T) {
	const clients = 8
	p := &pausingEndpoint{pause: 2500 * time.Millisecond, late: time.Second}
	x := startInstance(t, p.respond)
	other := platformtest.NewReplica(t, respondDone)
	x.configure(1, "k")
	x.listEndpoint("i-1", "ready")
	x.store.Put(platform.ReplicaTable, "i-2", platformtest.Entry(other.Address, "ready"))
	x.eventually("a ready instance", x.ready)
	x.eventually("listed endpoints", func() bool { return strings.Count(x.log.String(), `"message":"Endpoint"`) == 2 })
	done := make(chan struct{})
	var group sync.WaitGroup
	for n := range clients {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				if status, body := x.post(fmt.Sprint(n, "-", i), "k"); status != http.StatusOK {
					t.Errorf("got status %d and %q though the other endpoint works", status, body)
					return
				}
			}
		})
	}
	x.eventually("requests after the pause", func() bool { _, _, after := p.state(); return after > clients })
	close(done)
	group.Wait()
	if _, during, _ := p.state(); during > 2 {
		t.Errorf("%d requests reached the endpoint during the pause that it asked for", during)
	}
	x.eventually("the lines about it", func() bool {
		log := x.log.String()
		return strings.Contains(log, `"message":"EndpointPauseRequested"`) && strings.Contains(log, `"message":"EndpointPauseEnded"`)
	})
}

// TestPauseOutlastsTheFirstHeartbeat guards against requests to an endpoint that started again under its id and asked for a pause before its
// first heartbeat, once the entry of the new incarnation is listed.
func TestPauseOutlastsTheFirstHeartbeat(t *testing.T) {
	var mu sync.Mutex
	pauses, asked := false, 0
	x := startInstance(t, func(r *http.Request, body []byte) (string, bool) {
		mu.Lock()
		defer mu.Unlock()
		if pauses {
			asked++
			return platformtest.RetryAfter(platformtest.Rejection(r, http.StatusServiceUnavailable), "60"), true
		}
		return respondDone(r, body)
	})
	other := platformtest.NewReplica(t, respondDone)
	x.configure(1, "k")
	x.listEndpoint("i-1", "ready")
	x.store.Put(platform.ReplicaTable, "i-2", platformtest.Entry(other.Address, "ready"))
	n := 0
	post := func() int {
		n++
		status, _ := x.post(fmt.Sprint(n), "k")
		return status
	}
	x.eventually("requests at both endpoints", func() bool {
		return post() == http.StatusOK && len(x.endpoint.Headers()) > 10 && len(other.Headers()) > 10
	})
	restarted := time.Now()
	mu.Lock()
	pauses = true
	mu.Unlock()
	x.eventually("a pause that the endpoint asks for", func() bool { post(); return countLines(x.log, "EndpointPauseRequested") == 1 })
	x.store.Put(platform.ReplicaTable, "i-1", platformtest.EntryFields(x.endpoint.Address, restarted.UnixMilli(), false).Entry())
	x.eventually("the entry of the new incarnation", func() bool {
		return strings.Contains(x.log.String(), fmt.Sprintf(`"Born":%d`, restarted.UnixMilli()))
	})
	mu.Lock()
	before := asked
	mu.Unlock()
	for range 40 {
		if status := post(); status != http.StatusOK {
			t.Errorf("got status %d though the other endpoint works", status)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if asked > before {
		t.Errorf("%d of 40 requests reached the endpoint in the pause that it asked for", asked-before)
	}
}
