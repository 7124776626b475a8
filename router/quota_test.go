package main

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/serving/quota"
	"cowslipshunt.example/wire"
	"github.com/fxamacker/cbor/v2"
)

// TestRequestsOverQuotaGet429 guards against quotas of the configuration that are not in force, and against refusals without a time to return.
func TestRequestsOverQuotaGet429(t *testing.T) {
	x := startInstance(t, respondDone)
	text := strings.Replace(platformtest.Configuration(1, "k1"), `"api_keys"`, `"rate_per_s":2,"burst":4,"api_keys"`, 1)
	x.store.Put(platform.OperatorTable, platform.ConfigurationKey, text)
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
