package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/platform/wire"
)

const (
	// testMemoryMB is the memory of an instance whose requests may hold a quarter of it.
	testMemoryMB  = 16
	requestBudget = testMemoryMB << 20 / 4
	// largeBody is the size of the bodies that are offered.
	largeBody = 256 << 10
)

// holdingEndpoint answers long requests only once it is released, and short ones at once.
type holdingEndpoint struct {
	held    atomic.Int64
	release chan struct{}
}

func (e *holdingEndpoint) respond(r *http.Request, body []byte) (string, bool) {
	if len(body) == largeBody {
		e.held.Add(1)
		<-e.release
	}
	return platformtest.SealedResponse(r, http.StatusOK, strconv.Itoa(len(body))), true
}

// smallInstance returns an instance with little memory whose endpoint holds long requests.
func smallInstance(t *testing.T) (*testInstance, *holdingEndpoint) {
	t.Helper()
	e := &holdingEndpoint{release: make(chan struct{})}
	x := startInstance(t, e.respond, func(s string) string { return s + fmt.Sprintf("limits.memory_mb=%d\n", testMemoryMB) })
	x.listEndpoint("i-1", "ready")
	longBodies := func(c *wire.Configuration) { c.Limits.MaxBodyBytes = largeBody }
	x.store.Put(platform.OperatorTable, platform.ConfigurationKey, platformtest.OpenConfiguration(t, 1, longBodies))
	x.eventually("a request that is served", func() bool { status, _ := x.post("0", "k"); return status == http.StatusOK })
	return x, e
}

// uploadOutcome is the answer to a request with a long body.
type uploadOutcome struct {
	status     int
	retryAfter string
	body       string
	err        error
}

// upload sends a request as a plain client does: it writes all of it, and then reads the answer. The body has a length, or is one chunk.
func (x *testInstance) upload(id string, chunked bool) (o uploadOutcome) {
	c, err := net.Dial("tcp", x.settings.CallerAddress)
	if err != nil {
		return uploadOutcome{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	h := http.Header{}
	platformtest.Identify(h, id, "k")
	var text strings.Builder
	_ = h.Write(&text)
	body := strings.Repeat("x", largeBody)
	if chunked {
		body = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", largeBody, body)
	} else {
		body = fmt.Sprintf("Content-Length: %d\r\n\r\n%s", largeBody, body)
	}
	if _, err := io.WriteString(c, "POST /a/b HTTP/1.1\r\nHost: h.example\r\n"+text.String()+body); err != nil {
		return uploadOutcome{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return uploadOutcome{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return uploadOutcome{resp.StatusCode, resp.Header.Get("Retry-After"), string(answer), err}
}

// TestBodiesBeyondTheMemoryAreRefusedWhole guards against instances that are killed for their memory, with all requests that they hold: bodies
// of four times the memory that they may take are offered at once, with a length and in chunks. What is held stays below the bound, each
// request gets a whole answer or a whole refusal, and short requests are served meanwhile.
func TestBodiesBeyondTheMemoryAreRefusedWhole(t *testing.T) {
	const offered = 4 * requestBudget / largeBody
	x, e := smallInstance(t)
	outcomes := make(chan uploadOutcome, offered)
	var refused atomic.Int64
	var group sync.WaitGroup
	for i := range offered {
		group.Go(func() {
			o := x.upload(fmt.Sprint("u", i), i%2 == 1)
			if o.status == http.StatusServiceUnavailable {
				refused.Add(1)
			}
			outcomes <- o
		})
	}
	x.eventually("requests that are all held or refused", func() bool { return e.held.Load()+refused.Load() >= offered || len(outcomes) == offered })
	held := e.held.Load()
	if held*largeBody > requestBudget || held*largeBody < requestBudget/2 {
		t.Errorf("%d requests with %d bytes are held, want at most %d bytes and no less than half of that", held, held*largeBody, requestBudget)
	}
	if status, _ := x.post("short", "k"); status != http.StatusOK {
		t.Errorf("a short request got status %d beside long ones", status)
	}
	close(e.release)
	group.Wait()
	for range offered {
		o := <-outcomes
		seconds, err := strconv.ParseFloat(o.retryAfter, 64)
		switch {
		case o.err != nil:
			t.Errorf("a request got no whole answer: %v", o.err)
		case o.status == http.StatusOK && o.body != strconv.Itoa(largeBody):
			t.Errorf("the endpoint got %s bytes", o.body)
		case o.status == http.StatusServiceUnavailable && (err != nil || seconds <= 0 || !strings.HasPrefix(o.body, "NotRun")):
			t.Errorf("a refusal says %q, Retry-After %q", o.body, o.retryAfter)
		case o.status != http.StatusOK && o.status != http.StatusServiceUnavailable:
			t.Errorf("got status %d", o.status)
		}
	}
	x.eventually("room for the next request", func() bool { return x.upload("next", false).status == http.StatusOK })
}
