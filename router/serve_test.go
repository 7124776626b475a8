package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/serving/membership"
)

const (
	// waitTimeout bounds the wait for events that take at most a few seconds.
	waitTimeout  = 15 * time.Second
	pollInterval = 10 * time.Millisecond
)

// logBuffer collects the log of an instance. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// testInstance is a running instance whose store, duty interface and endpoint are stand-ins.
type testInstance struct {
	t        *testing.T
	store    *platformtest.Store
	duties   *platformtest.DutyServer
	endpoint *platformtest.Replica
	settings *platform.Settings
	path     string
	log      *logBuffer
	stop     context.CancelFunc
	done     chan error
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func freePort(t testing.TB) int {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().(*net.UDPAddr).Port
}

// startInstance runs an instance until the test ends; its endpoint answers with respond.
func startInstance(t *testing.T, respond func(r *http.Request, body []byte) (string, bool), edits ...func(settings string) string) *testInstance {
	t.Helper()
	x := &testInstance{t: t, store: platformtest.NewStore(t), duties: platformtest.NewDutyServer(t), endpoint: platformtest.NewReplica(t, respond), log: &logBuffer{}, done: make(chan error, 1)}
	text := platformtest.Settings(freeAddress(t), freeAddress(t), x.store.Address, x.duties.Address, freePort(t))
	for _, edit := range edits {
		text = edit(text)
	}
	settings, err := platform.ParseSettings("boot.conf", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	x.settings = settings
	ctx, stop := context.WithCancel(t.Context())
	x.stop = stop
	x.path = filepath.Join(t.TempDir(), "boot.conf")
	x.writeSettings(text)
	go func() {
		x.done <- serve(ctx, settings, options{Settings: x.path}, newLogger(x.log, "debug", settings.Instance))
	}()
	t.Cleanup(stop)
	return x
}

// writeSettings replaces the settings file.
func (x *testInstance) writeSettings(text string) {
	x.t.Helper()
	if err := os.WriteFile(x.path, []byte(text), 0o600); err != nil {
		x.t.Fatal(err)
	}
}

// configure stores a configuration with one key and one route to the endpoint.
func (x *testInstance) configure(version int, key string) {
	x.store.Put(platform.OperatorTable, platform.ConfigurationKey, platformtest.Configuration(version, key))
}

// listEndpoint lists the endpoint in the store with a state.
func (x *testInstance) listEndpoint(id, state string) {
	x.store.Put(platform.ReplicaTable, id, platformtest.Entry(x.endpoint.Address, state))
}

// eventually waits until a condition holds, and fails the test after waitTimeout.
func (x *testInstance) eventually(what string, condition func() bool) {
	x.t.Helper()
	if !holdsInTime(condition) {
		x.t.Fatalf("timed out waiting for %s; the log is:\n%s", what, x.log)
	}
}

// waitFor waits until a condition holds, and fails the test after waitTimeout.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	if !holdsInTime(condition) {
		t.Fatalf("timed out waiting for %s", what)
	}
}

// holdsInTime waits until a condition holds, at most for waitTimeout, and reports whether it does.
func holdsInTime(condition func() bool) bool {
	deadline := time.Now().Add(waitTimeout)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		<-ticker.C
	}
	return true
}

func (x *testInstance) ready() bool {
	resp, err := http.Get("http://" + x.settings.ReadyAddress + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// post sends one request and returns the status and body of the answer. Status 0 means that there was no complete answer.
func (x *testInstance) post(id, key string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+x.settings.CallerAddress+"/a/b", strings.NewReader("book"))
	if err != nil {
		x.t.Fatal(err)
	}
	req.Host = "h.example"
	platformtest.Identify(req.Header, id, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(body)
}

// replaceSettings replaces a part of the text of the settings before the instance starts.
func replaceSettings(old, text string) func(string) string {
	return func(s string) string { return strings.Replace(s, old, text, 1) }
}

// respondDone answers with "done" and the body of the request.
func respondDone(r *http.Request, body []byte) (string, bool) {
	return platformtest.SealedResponse(r, 200, "done "+string(body)), true
}

func TestInstanceServesReportsAndStops(t *testing.T) {
	x := startInstance(t, respondDone)
	x.eventually("an instance that accepts connections", func() bool {
		status, _ := x.post("0", "k1")
		return status == http.StatusServiceUnavailable
	})
	if x.ready() {
		t.Error("the instance is ready without a configuration")
	}
	x.configure(1, "k1")
	x.listEndpoint("i-1", "ready")
	x.eventually("a request that is served", func() bool {
		status, body := x.post("1", "k1")
		return status == http.StatusOK && body == "done book"
	})
	if !x.ready() {
		t.Error("the instance is not ready with a configuration")
	}
	if h := x.endpoint.Headers()[0]; h.Get("Authorization") != "" || platformtest.Workspace(h) != "w" {
		t.Errorf("the endpoint got %v", h)
	}
	x.configure(2, "k2")
	x.eventually("a withdrawn key that no longer works", func() bool {
		status, _ := x.post("2", "k1")
		return status == http.StatusUnauthorized
	})
	x.eventually("a usage report", func() bool {
		for _, c := range x.duties.Calls() {
			if c.Usage != nil && c.Usage.Counts["w"] > 0 {
				return true
			}
		}
		return false
	})
	x.listEndpoint("i-1", "draining")
	x.eventually("a request that is refused as not run", func() bool {
		status, body := x.post("3", "k2")
		return status == http.StatusServiceUnavailable && strings.HasPrefix(body, "NotRun")
	})
	x.stop()
	if err := <-x.done; err != nil {
		t.Errorf("serve returned %v", err)
	}
	for _, line := range []string{"Started", "Configuration", "Endpoint", "Answered", "Refused", "UsageReported", "Stopping", "Stopped"} {
		if !strings.Contains(x.log.String(), `"message":"`+line+`"`) {
			t.Errorf("the log has no line %s", line)
		}
	}
}

// TestStartingInstanceDoesNotCheckTheLeaseAtOnce guards against hundreds of calls when a large deployment starts: an instance that
// knows no peers yet waits for them before it checks the lease.
func TestStartingInstanceDoesNotCheckTheLeaseAtOnce(t *testing.T) {
	x := startInstance(t, respondDone)
	began := time.Now()
	x.eventually("the lease", func() bool { return len(x.store.Keys("lease")) > 0 })
	if took := time.Since(began); took < membership.SecondRefreshDelay {
		t.Errorf("the lease was taken after %v", took)
	}
}
