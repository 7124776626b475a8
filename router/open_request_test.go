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

// reconfigure stores a configuration and waits until it is in force.
func (x *testInstance) reconfigure(version int, changes ...platformtest.Change) {
	x.t.Helper()
	x.store.Put(platform.OperatorTable, platform.ConfigurationKey, platformtest.OpenConfiguration(x.t, version, changes...))
	x.awaitVersion(version)
}

func (x *testInstance) awaitVersion(version int) {
	x.t.Helper()
	x.eventually("a configuration in force", func() bool {
		for line := range strings.SplitSeq(x.log.String(), "\n") {
			if strings.Contains(line, fmt.Sprintf(`"Version":%d,`, version)) && strings.Contains(line, `"Taken":true,"message":"Configuration"`) {
				return true
			}
		}
		return false
	})
}

// awaitIdleClose waits until connections have been closed by the idle timeout of a version. Each time it opens another one, as a connection
// keeps the timeout that was in force when it became idle.
func (x *testInstance) awaitIdleClose(version int) {
	x.t.Helper()
	x.eventually("idle connections that are closed", func() bool {
		c := x.dial()
		c.send("")
		if _, err := c.receive(); err != nil {
			x.t.Error(err)
		}
		for line := range strings.SplitSeq(x.log.String(), "\n") {
			if strings.Contains(line, `"message":"IdleConnectionsClosed"`) && strings.Contains(line, fmt.Sprintf(`"Version":%d,`, version)) {
				return true
			}
		}
		return false
	})
}

// TestChangeOfTheConfigurationSparesOpenRequests guards against requests that end with neither an answer nor a refusal as a change of the
// configuration meets them: while an endpoint works for them, or while their head or body is read.
func TestChangeOfTheConfigurationSparesOpenRequests(t *testing.T) {
	x, gated := gatedInstance(t)
	version := 1
	for name, test := range map[string]struct {
		changes []platformtest.Change
		// statuses are those that requests may get that are read after the change.
		statuses string
		await    func(version int)
	}{
		"routes are dropped":         {[]platformtest.Change{platformtest.DropRoutes}, "404", nil},
		"services are dropped":       {[]platformtest.Change{platformtest.DropServices}, "503", nil},
		"time limits are shortened":  {[]platformtest.Change{platformtest.ShortenTimeouts}, "503 504", nil},
		"limits are lowered":         {[]platformtest.Change{platformtest.LowerLimits}, "200 413", nil},
		"idle timeout is shortened":  {[]platformtest.Change{platformtest.ShortenIdleTimeout}, "200", x.awaitIdleClose},
		"keys are revoked":           {[]platformtest.Change{platformtest.RevokeKeys}, "401", nil},
		"a full row of routes comes": {[]platformtest.Change{platformtest.FillRow}, "200", nil},
	} {
		t.Run(name, func(t *testing.T) {
			version += 2
			x.reconfigure(version - 1)
			waiting, unread := x.openCalls(gated, name)
			x.reconfigure(version, test.changes...)
			if test.await != nil {
				test.await(version)
			}
			checkOpenCalls(t, gated, waiting, unread, test.statuses)
		})
	}
}

// checkOpenCalls sends the rest of the requests and checks that all get a complete answer: those that wait that of the endpoint, the others one
// with a status of the list.
func checkOpenCalls(t *testing.T, gated *platformtest.GatedReplica, waiting, unread []*openCall, statuses string) {
	t.Helper()
	type outcome struct {
		c      *openCall
		status int
		body   string
		err    error
	}
	outcomes := make(chan outcome)
	for _, c := range unread {
		go func() {
			status, body, err := c.finish()
			outcomes <- outcome{c, status, body, err}
		}()
	}
	// A request that is served reaches the endpoint, which holds it.
	done := make(chan struct{})
	go releaseUntil(gated, done)
	for range unread {
		o := <-outcomes
		if o.err != nil || !strings.Contains(statuses, fmt.Sprint(o.status)) {
			t.Errorf("a request that %s got status %d, %q, %v; want %s", o.c.name, o.status, o.body, o.err, statuses)
		}
	}
	for _, c := range waiting {
		want := "done"
		if strings.Contains(c.path, platformtest.StreamPath) {
			want = platformtest.GatedStream
		}
		if status, body, err := c.answer(); err != nil || status != http.StatusOK || body != want {
			t.Errorf("a request that %s got status %d, %q, %v", c.name, status, body, err)
		}
	}
	close(done)
}

// TestEndpointThatIsUnlistedFinishesOpenRequests guards against requests that end without an answer as their endpoints are removed from the
// list while they work.
func TestEndpointThatIsUnlistedFinishesOpenRequests(t *testing.T) {
	x, gated := gatedInstance(t)
	waiting := x.waitingCalls(gated, "unlisted ", func(http.Header) {})
	for _, id := range []string{"i-1", "e-1", "e-2"} {
		x.store.Delete(platform.ReplicaTable, id)
	}
	x.eventually("endpoints that are gone", func() bool { return strings.Count(x.log.String(), `"message":"EndpointUnlisted"`) == 3 })
	checkOpenCalls(t, gated, waiting, nil, "")
}

// TestRequestsDuringManyVersionsAreServed guards against requests that end without an answer while versions of the configuration follow each
// other quickly, with few and with very many routes and with long and short idle timeouts. The callers keep their connections in use.
func TestRequestsDuringManyVersionsAreServed(t *testing.T) {
	const clients, versions, interval = 8, 20, 60 * time.Millisecond
	x := startInstance(t, respondDone)
	x.listEndpoint("i-1", "ready")
	x.store.Put(platform.OperatorTable, platform.ConfigurationKey, platformtest.OpenConfiguration(t, 1))
	x.eventually("a ready instance", x.ready)
	x.eventually("a request that is served", func() bool { status, _ := x.post("0", "k"); return status == http.StatusOK })
	done := make(chan struct{})
	var group sync.WaitGroup
	for n := range clients {
		group.Go(func() {
			c := x.dial()
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				c.send(fmt.Sprint(n, "-", i))
				if status, err := c.receive(); err != nil || status != http.StatusOK {
					t.Errorf("request %d of a caller got status %d, %v", i, status, err)
					return
				}
			}
		})
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	kinds := [][]platformtest.Change{{platformtest.FillRow}, {platformtest.HalveIdleTimeout}, {}}
	for v := 2; v < 2+versions; v++ {
		x.store.Put(platform.OperatorTable, platform.ConfigurationKey, platformtest.OpenConfiguration(t, v, kinds[v%len(kinds)]...))
		<-ticker.C
	}
	x.awaitVersion(1 + versions)
	close(done)
	group.Wait()
}
