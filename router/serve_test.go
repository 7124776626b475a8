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
	"cowslipshunt.example/serving/roster"
)

// Times of these tests. Within waits for what takes at most a few seconds.
const (
	within = 15 * time.Second
	look   = 10 * time.Millisecond
)

// output keeps an instance's log.
type output struct {
	mu   sync.Mutex
	text strings.Builder
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// instance is one running instance before stand-ins.
type instance struct {
	t        *testing.T
	store    *platformtest.Store
	duties   *platformtest.Duties
	replica  *platformtest.Replica
	settings *platform.Settings
	path     string
	log      *output
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

func freePort(t *testing.T) int {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().(*net.UDPAddr).Port
}

func start(t *testing.T, respond func(r *http.Request, body []byte) (string, bool)) *instance {
	t.Helper()
	x := &instance{t: t, store: platformtest.NewStore(t), duties: platformtest.NewDuties(t), replica: platformtest.NewReplica(t, respond), log: &output{}, done: make(chan error, 1)}
	text := platformtest.Settings(freeAddress(t), freeAddress(t), x.store.Address, x.duties.Address, freePort(t))
	settings, err := platform.ParseSettings("boot.conf", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	x.settings = settings
	ctx, stop := context.WithCancel(t.Context())
	x.stop = stop
	x.path = filepath.Join(t.TempDir(), "boot.conf")
	x.write(text)
	go func() {
		x.done <- serve(ctx, settings, options{Settings: x.path}, newLogger(x.log, "debug", settings.Instance))
	}()
	t.Cleanup(stop)
	return x
}

// write replaces the settings file.
func (x *instance) write(text string) {
	x.t.Helper()
	if err := os.WriteFile(x.path, []byte(text), 0o600); err != nil {
		x.t.Fatal(err)
	}
}

// configure writes a configuration with one key and one route to the replica.
func (x *instance) configure(version int, key string) {
	x.store.Put(platform.OperatorTable, platform.ConfigurationKey, platformtest.Configuration(version, key))
}

func (x *instance) list(id, state string) {
	x.store.Put(platform.ReplicaTable, id, platformtest.Entry(x.replica.Address, state))
}

// eventually waits until a condition holds.
func (x *instance) eventually(what string, holds func() bool) {
	x.t.Helper()
	deadline := time.Now().Add(within)
	ticker := time.NewTicker(look)
	defer ticker.Stop()
	for !holds() {
		if time.Now().After(deadline) {
			x.t.Fatalf("%s did not come about; the log is:\n%s", what, x.log)
		}
		<-ticker.C
	}
}

func (x *instance) ready() bool {
	resp, err := http.Get("http://" + x.settings.ReadyAddress + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// ask sends one request and returns its status and body; status 0 is a connection that ended.
func (x *instance) ask(id, key string) (int, string) {
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

func whole(r *http.Request, body []byte) (string, bool) {
	return platformtest.Whole(r, 200, "done "+string(body)), true
}

func TestInstanceServesReportsAndStops(t *testing.T) {
	x := start(t, whole)
	x.eventually("an instance that listens", func() bool {
		status, _ := x.ask("0", "k1")
		return status == http.StatusServiceUnavailable
	})
	if x.ready() {
		t.Error("the instance is ready without a configuration")
	}
	x.configure(1, "k1")
	x.list("i-1", "ready")
	x.eventually("a request that is served", func() bool {
		status, body := x.ask("1", "k1")
		return status == http.StatusOK && body == "done book"
	})
	if !x.ready() {
		t.Error("the instance is not ready with a configuration")
	}
	if h := x.replica.Heads()[0]; h.Get("Authorization") != "" || platformtest.Workspace(h) != "w" {
		t.Errorf("the replica got %v", h)
	}
	x.configure(2, "k2")
	x.eventually("a withdrawn key that no longer works", func() bool {
		status, _ := x.ask("2", "k1")
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
	x.list("i-1", "draining")
	x.eventually("a request that is refused as not run", func() bool {
		status, body := x.ask("3", "k2")
		return status == http.StatusServiceUnavailable && strings.HasPrefix(body, "NotRun")
	})
	x.stop()
	if err := <-x.done; err != nil {
		t.Errorf("stopped with %v", err)
	}
	for _, line := range []string{"Started", "Configuration", "Endpoint", "Answered", "Refused", "UsageReported", "Stopping", "Stopped"} {
		if !strings.Contains(x.log.String(), `"message":"`+line+`"`) {
			t.Errorf("the log has no line %s", line)
		}
	}
}

// TestStopFinishesOpenRequests stops an instance while a replica works.
func TestStopFinishesOpenRequests(t *testing.T) {
	came, answer := make(chan struct{}), make(chan struct{})
	x := start(t, func(r *http.Request, body []byte) (string, bool) {
		close(came)
		<-answer
		return whole(r, body)
	})
	x.configure(1, "k")
	x.list("i-1", "ready")
	x.eventually("a ready instance", x.ready)
	x.eventually("a listed replica", func() bool { return strings.Contains(x.log.String(), `"message":"Endpoint"`) })
	got := make(chan int, 1)
	go func() {
		status, _ := x.ask("1", "k")
		got <- status
	}()
	<-came
	x.stop()
	x.eventually("an instance that is no longer ready", func() bool { return !x.ready() })
	close(answer)
	if status := <-got; status != http.StatusOK {
		t.Errorf("the open request got status %d", status)
	}
	if err := <-x.done; err != nil {
		t.Errorf("stopped with %v", err)
	}
}

// TestStoreOutageDoesNotEndService keeps serving while the store refuses every call, and follows it when it is back.
func TestStoreOutageDoesNotEndService(t *testing.T) {
	x := start(t, whole)
	x.configure(1, "k")
	x.list("i-1", "ready")
	served := func() bool {
		status, _ := x.ask("1", "k")
		return status == http.StatusOK
	}
	x.eventually("a request that is served", served)
	x.store.Fail(http.StatusServiceUnavailable)
	x.eventually("a line about the lost store", func() bool { return strings.Contains(x.log.String(), "DependencyLost") })
	if !served() {
		t.Error("a request was not served while the store was away")
	}
	x.store.DropHistory()
	x.store.Fail(0)
	x.configure(2, "other")
	x.eventually("the configuration that came meanwhile", func() bool {
		status, _ := x.ask("2", "k")
		return status == http.StatusUnauthorized
	})
}

// contact is how long after an outage an instance counts as in touch again, by the platform's contract.
const contact = 3 * time.Second

// configApply is the platform's bound on the time until a configuration is in force.
const configApply = 2 * time.Second

// TestConfigurationAppliesInTimeAfterASilentOutage ends an outage in which the store took calls and did not answer, just after the
// instance has begun another call.
func TestConfigurationAppliesInTimeAfterASilentOutage(t *testing.T) {
	x := start(t, whole)
	x.configure(1, "k")
	x.eventually("a ready instance", x.ready)
	x.store.Silence(true)
	x.eventually("a line about the lost store", func() bool { return strings.Contains(x.log.String(), "DependencyLost") })
	calls := x.store.Calls()
	x.eventually("another call", func() bool { return x.store.Calls() > calls })
	x.store.Silence(false)
	x.configure(2, "other")
	changed := time.Now()
	x.eventually("a line about the store's return", func() bool { return strings.Contains(x.log.String(), "DependencyRegained") })
	if took := time.Since(changed); took+roster.LapseGrace > contact {
		t.Errorf("the store's return was noticed after %v, and entries have %v more to come back", took, roster.LapseGrace)
	}
	x.eventually("the new configuration", func() bool { return strings.Contains(x.log.String(), `"Version":2`) })
	if took := time.Since(changed); took > configApply {
		t.Errorf("the configuration was in force after %v", took)
	}
}
