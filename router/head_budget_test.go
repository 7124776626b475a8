package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/platform/wire"
	"cowslipshunt.example/serving/route"
)

// TestLimitsOfHeadsThatHaveNoMeaningAreDefaults guards against a configuration with negative limits, by which each request would be refused.
func TestLimitsOfHeadsThatHaveNoMeaningAreDefaults(t *testing.T) {
	n, _ := explainable(t)
	want := n.headLimits()
	n.relay.SetTable(route.NewTable(2, nil, nil, nil, route.Limits{MaxHead: -1, HeadTimeout: -time.Second}))
	if got := n.headLimits(); got != want {
		t.Errorf("the limits are %+v, want %+v", got, want)
	}
}

// TestLimitOfHeadsFollowsTheConfiguration guards against defaults that cut off what the configuration allows, and against limits that stay in
// force on connections that are kept.
func TestLimitOfHeadsFollowsTheConfiguration(t *testing.T) {
	x := startInstance(t, respondDone)
	x.listEndpoint("i-1", "ready")
	configure := func(version, limit int) {
		x.store.Put(platform.OperatorTable, platform.ConfigurationKey, platformtest.OpenConfiguration(t, version, func(c *wire.Configuration) {
			c.Limits.MaxHeaderBytes = limit
		}))
	}
	statusOf := func(bytes int) int {
		req, err := http.NewRequest(http.MethodPost, "http://"+x.settings.CallerAddress+"/a/b", strings.NewReader("book"))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h.example"
		platformtest.Identify(req.Header, "1", "k")
		req.Header.Set("X-Long", strings.Repeat("a", bytes))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	configure(1, 3*defaultMaxHead)
	x.eventually("a request with a long head that is served", func() bool { return statusOf(2*defaultMaxHead) == http.StatusOK })
	configure(2, 4000)
	x.eventually("the refusal of a long head", func() bool { return statusOf(5000) == http.StatusRequestHeaderFieldsTooLarge })
	if got := statusOf(1000); got != http.StatusOK {
		t.Errorf("a request within the limit got %d", got)
	}
	if !strings.Contains(x.log.String(), `"HeadRefused"`) {
		t.Error("the refusal is not logged")
	}
}
