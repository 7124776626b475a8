package main

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/serving/peerload"
	"cowslipshunt.example/serving/quarantine"
	"cowslipshunt.example/serving/quota"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/wire"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
)

// TestRequestsOverQuotaGet429 guards against quotas of the configuration that are not in force, and against refusals without a time to return.
func TestRequestsOverQuotaGet429(t *testing.T) {
	x := startInstance(t, respondDone)
	x.store.Put(platform.OperatorTable, platform.ConfigurationKey, platformtest.LimitedConfiguration(1, "k1", 2, 4))
	x.listEndpoint("i-1", "ready")
	x.eventually("a request that is served", func() bool {
		status, _ := x.post("1", "k1")
		return status == http.StatusOK
	})
	x.eventually("a request that is refused", func() bool {
		status, body := x.post("2", "k1")
		return status == http.StatusTooManyRequests && strings.HasPrefix(body, "OverQuota")
	})
	req, err := http.NewRequest(http.MethodPost, "http://"+x.settings.CallerAddress+"/a/b", strings.NewReader("book"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	platformtest.Identify(req.Header, "3", "k1")
	for status := http.StatusOK; status != http.StatusTooManyRequests; {
		resp, err := http.DefaultClient.Do(req.Clone(t.Context()))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if status = resp.StatusCode; status != http.StatusTooManyRequests {
			continue
		}
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil || after <= 0 || after > 1 {
			t.Errorf("Retry-After is %q: %v", resp.Header.Get("Retry-After"), err)
		}
	}
	x.eventually("a log line", func() bool { return strings.Contains(x.log.String(), `"message":"QuotaExceeded"`) })
}

// TestQuotaPacketsFitIntoDatagrams guards against packets that are fragmented or do not decode, with names as long as those of customers.
func TestQuotaPacketsFitIntoDatagrams(t *testing.T) {
	p := &quota.Packet{From: "192.168.100.100:65535", Incarnation: wire.IncarnationId(strings.Repeat("x", 36)), Domain: "domain-with-a-name"}
	for i := range quota.PacketItems {
		name := wire.WorkspaceName(fmt.Sprintf("workspace-of-a-long-name-%06d", i))
		p.Totals = append(p.Totals, quota.Total{Workspace: name, Sequence: math.MaxUint32, Spent: 1e13 / 3, Recent: 1e7 / 3.0, Level: -1e7 / 3.0, Ready: true})
	}
	data, err := cbor.Marshal(message{Quota: p})
	if err != nil || len(data) > maxDatagramBytes {
		t.Fatalf("%d bytes, %v", len(data), err)
	}
	t.Logf("%d totals take %d bytes", len(p.Totals), len(data))
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil || len(m.Quota.Totals) != len(p.Totals) || m.Quota.Totals[3] != p.Totals[3] {
		t.Errorf("got %+v, %v", m.Quota, err)
	}
}

// TestInstancesShareQuotas guards against packets that do not reach the manager of the other instance: two instances of a failure domain grant what
// comes in once, and not each for itself.
func TestInstancesShareQuotas(t *testing.T) {
	const rate = 20
	quotas := map[wire.WorkspaceName]route.Quota{"w": {Rate: rate, Burst: rate}}
	ports := []int{freePort(t), freePort(t)}
	var runners []*quotaRunner
	for i, port := range ports {
		name := wire.InstanceName(fmt.Sprintf("i-%d", i))
		self := lease.Identity{Instance: name, Incarnation: wire.IncarnationId(name)}
		address, other := fmt.Sprintf("127.0.0.1:%d", port), fmt.Sprintf("127.0.0.1:%d", ports[1-i])
		logger, d := newLogger(io.Discard, "error", name), roster.NewDirectory()
		p, err := newPeers(self, address, peerload.NewReporter(name, self.Incarnation, address, "a", d), peerload.NewTable(name, d),
			quarantine.New(clockwork.NewRealClock()), metering.NewHandoffs(self.Incarnation), time.Now, logger)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.close)
		p.setMembers([]membership.Peer{{Address: other, Domain: "a"}})
		q := &quotaRunner{logger: logger, refused: map[string]uint64{}}
		q.manager = quota.New(membership.Peer{Address: address, Domain: "a"}, self.Incarnation, q, clockwork.NewRealClock(), defaultQuotaWindow)
		q.peers.Store(p)
		p.quotas.Store(q)
		runners = append(runners, q)
	}
	waitFor(t, "peers that report", func() bool { return len(runners[0].Instances()) == 1 && len(runners[1].Instances()) == 1 })
	for _, q := range runners {
		q.manager.SetQuotas(quotas)
	}
	granted, began := 0, time.Now()
	waitFor(t, "a used quota", func() bool {
		for _, q := range runners {
			q.manager.Tick()
			if _, err := q.manager.Take(t.Context(), &route.Workspace{Name: "w", Quota: quotas["w"]}, quota.Cost{Amount: 1}); err == nil {
				granted++
			}
		}
		usage := [2]quota.Usage{runners[0].manager.Usage()[0], runners[1].manager.Usage()[0]}
		return granted > 3*rate && usage[0].Refused > 0 && usage[1].Refused > 0 && usage[0].Coordinator == usage[1].Coordinator
	})
	// Buckets start empty. The margin is for requests that are decided without the coordinator at the start.
	if most := rate * (time.Since(began).Seconds() + 1); float64(granted) > most {
		t.Errorf("granted %d requests, at most %.0f came in", granted, most)
	}
}
