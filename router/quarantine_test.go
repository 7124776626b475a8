package main

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/serving/peerload"
	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/quarantine"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/wire"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
)

// Bounds of the requests with a part that crashes endpoints: lateSends may reach endpoints later than contactTime after the crash with the
// number firstCrashes.
const (
	firstCrashes = 5
	lateSends    = 3
	contactTime  = 3 * time.Second
)

// crashCounter counts the requests with the part "bad" that endpoints have received.
type crashCounter struct {
	mu sync.Mutex
	// since is when the crash with the number firstCrashes was.
	since           time.Time
	received, lates int
}

func (c *crashCounter) count() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received++
	if c.received == firstCrashes {
		c.since = time.Now()
	}
	if c.received > firstCrashes && time.Since(c.since) > contactTime {
		c.lates++
	}
}

// late returns how many requests came later than contactTime after the crash with the number firstCrashes.
func (c *crashCounter) late() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lates
}

// total returns how many requests came.
func (c *crashCounter) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// crashingReplicas lists replicas at the store of an instance that close the connection of each request with the part "bad". It returns
// the counter of such requests.
func (x *testInstance) crashingReplicas(n int) *crashCounter {
	received := &crashCounter{}
	for i := range n {
		r := platformtest.NewReplica(x.t, func(r *http.Request, body []byte) (string, bool) {
			if platformtest.HasPromptPart(r.Header, "bad") {
				received.count()
				return "", false
			}
			return respondDone(r, body)
		})
		x.store.Put(platform.ReplicaTable, fmt.Sprint("i-", i), platformtest.Entry(r.Address, "ready"))
	}
	return received
}

// joining returns an edit of the settings of an instance with another name and the store of x.
func (x *testInstance) joining(name string) func(string) string {
	return func(s string) string { return platformtest.Joining(s, name, x.store.Address) }
}

// postPrompt sends one request whose prompt has two shared parts, and returns the status, the Retry-After and the body of the answer.
func (x *testInstance) postPrompt(id, first, second string) (status int, retryAfter float64, text string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+x.settings.CallerAddress+"/a/b", strings.NewReader("book"))
	if err != nil {
		x.t.Fatal(err)
	}
	req.Host = "h.example"
	platformtest.Identify(req.Header, id, "k1")
	platformtest.SetPrompt(req.Header, first, second, "own-"+id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, 0, ""
	}
	retryAfter, _ = strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, retryAfter, string(body)
}

// TestInstancesShareWhichPromptPartsCrashEndpoints guards against requests with a part that crashes endpoints arriving at several
// instances, each of which sees too few of the crashes, and at one that has started since.
func TestInstancesShareWhichPromptPartsCrashEndpoints(t *testing.T) {
	const replicas = 24
	x := startInstance(t, respondDone)
	x.configure(1, "k1")
	received := x.crashingReplicas(replicas)
	y := startInstance(t, respondDone, x.joining("front-a-2"))
	n := 0
	post := func(i *testInstance, first, second string) (int, float64, string) {
		n++
		return i.postPrompt(fmt.Sprint("r", n), first, second)
	}
	served := func(i *testInstance) bool {
		status, _, _ := post(i, "first", "fine")
		return status == http.StatusOK
	}
	held := func(i *testInstance) bool {
		status, retryAfter, text := post(i, "first", "bad")
		if n := received.late(); n > lateSends {
			t.Fatalf("%d requests with the part reached endpoints late, %d in all", n, received.total())
		}
		return status == http.StatusServiceUnavailable && strings.HasPrefix(text, "NotRun") && retryAfter > 1
	}
	for _, i := range []*testInstance{x, y} {
		i.eventually("a request that is served", func() bool { return served(i) })
	}
	x.eventually("requests with the part that are refused by both instances", func() bool {
		atX, atY := held(x), held(y)
		return atX && atY
	})
	z := startInstance(t, respondDone, x.joining("front-a-3"))
	z.eventually("a later instance that knows of the part", func() bool {
		return served(z) && strings.Contains(z.log.String(), `"message":"PromptQuarantine"`)
	})
	before := received.total()
	if !held(z) || received.total() > before {
		t.Error("a request with the part was not refused by an instance that has started since")
	}
	for _, i := range []*testInstance{x, y, z} {
		if !served(i) {
			t.Error("a sound request with the same first part was not served")
		}
	}
}

// fullHolds is the number of holds in fullEvidence.
const fullHolds = 8

// fullEvidence returns as much evidence as a report has at most.
func fullEvidence() *quarantine.Evidence {
	const crashes, sound, alive, partsOfAll = 6, 16, 8, 24
	age := (24 * time.Hour).Milliseconds()
	parts := func(n int) []quarantine.PartID {
		return slices.Repeat([]quarantine.PartID{math.MaxUint64}, n)
	}
	e := &quarantine.Evidence{}
	for range crashes {
		e.Crashes = append(e.Crashes, quarantine.Crash{Endpoint: math.MaxUint64, Parts: parts(partsOfAll / crashes), SentAge: age, FailedAge: age})
	}
	for range sound {
		e.Sound = append(e.Sound, quarantine.Sound{Part: math.MaxUint64, Age: age})
	}
	for range fullHolds {
		e.Holds = append(e.Holds, quarantine.Hold{Parts: parts(partsOfAll / fullHolds), FirstAge: age, Left: -age, Level: 6})
	}
	for range alive {
		e.Alive = append(e.Alive, quarantine.Alive{Endpoint: math.MaxUint64, SentAge: age})
	}
	return e
}

// TestFullEvidenceFitsIntoDatagram guards against evidence that keeps an instance's reports from being sent.
func TestFullEvidenceFitsIntoDatagram(t *testing.T) {
	const paused = 16
	e := fullEvidence()
	report := &peerload.Report{From: "front-gt-central-a-100", Incarnation: wire.IncarnationId(uuid.NewString()), Sequence: math.MaxUint32,
		Address: "10.100.100.100:65535", Domain: "gt-central-a", Paused: slices.Repeat([]wire.EndpointId{"i-0123456789"}, paused)}
	data, err := cbor.Marshal(message{Report: report, Evidence: e, Applied: &appliedVersions{Configuration: math.MaxUint32, Endpoints: math.MaxUint32}})
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > maxDatagramBytes {
		t.Errorf("the datagram has %d bytes", len(data))
	}
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil || len(m.Evidence.Holds) != fullHolds {
		t.Errorf("the datagram is decoded as %+v, %v", m.Evidence, err)
	}
}

// TestEvidenceBesideFullReportIsSent guards against an instance whose peers hear nothing of it: evidence, leaving and paused endpoints
// together exceed a datagram, and a report without loads cannot be shortened.
func TestEvidenceBesideFullReportIsSent(t *testing.T) {
	const leaving, paused = 16, 16
	d := roster.NewDirectory()
	table := peerload.NewTable("receiver", d)
	evidence := quarantine.New(clockwork.NewRealClock())
	address := fmt.Sprintf("127.0.0.1:%d", freePort(t))
	receiver, err := newPeers(lease.Identity{Instance: "receiver", Incarnation: "1"}, address, peerload.NewReporter("receiver", "1", address, "a", d), table,
		evidence, metering.NewHandoffs("1"), time.Now, newLogger(io.Discard, "error", "receiver"))
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.close()
	sender := newTestPeers(t)
	report := peerload.Report{From: "sender", Incarnation: wire.IncarnationId(uuid.NewString()), Address: "10.100.100.100:65535", Domain: "gt-central-a",
		Paused: slices.Repeat([]wire.EndpointId{"i-0123456789"}, paused)}
	for i := range leaving {
		report.Leaving = append(report.Leaving, peerload.Departure{Endpoint: wire.EndpointId(fmt.Sprintf("i-01234567%02d", i)), Born: math.MaxInt64})
	}
	held := placement.NewPrompt(2, 1, []placement.Part{{Name: "deadly", Tokens: 1}, {Name: "own", Tokens: 1}})
	full := fullEvidence()
	full.Holds[0] = quarantine.Hold{Parts: []quarantine.PartID{quarantine.NewPartID("deadly")}, Left: time.Hour.Milliseconds()}
	waitFor(t, "the report and the evidence", func() bool {
		report.Sequence++
		sender.broadcast(report, full, []string{address})
		return len(table.Peers()) == 1 && evidence.Holds(&held)
	})
}
