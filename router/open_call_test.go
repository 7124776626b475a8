package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
)

// openCall is a request on a kept connection of a caller that reads until its answer ends.
type openCall struct {
	*rawConn
	name, id, path string
	// chunked is set if the body is sent in chunks.
	chunked bool
	edit    func(h http.Header)
	// rest is what is still to be sent.
	rest string
}

// openCallAt returns a call on a connection that has carried a request before.
func (x *testInstance) openCallAt(name, id, path string) *openCall {
	x.t.Helper()
	c := &openCall{rawConn: x.dial(), name: name, id: id, path: path, edit: func(http.Header) {}}
	c.send("")
	if status, err := c.receive(); err != nil || status != http.StatusBadRequest {
		x.t.Fatalf("a request without an id got status %d, %v", status, err)
	}
	return c
}

// begin sends the request up to the first place of a text, or all of it if the text is empty.
func (c *openCall) begin(upTo string) {
	c.x.t.Helper()
	h := http.Header{}
	platformtest.Identify(h, c.id, "k")
	c.edit(h)
	body := "Content-Length: 4\r\n\r\nbook"
	if c.chunked {
		body = "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\nok\r\n0\r\n\r\n"
	}
	var text strings.Builder
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: h.example\r\n", c.path)
	if err := h.Write(&text); err != nil {
		c.x.t.Fatal(err)
	}
	text.WriteString(body)
	first := text.String()
	if upTo != "" {
		i := strings.Index(first, upTo) + len(upTo)
		first, c.rest = first[:i], first[i:]
	}
	if _, err := io.WriteString(c, first); err != nil {
		c.x.t.Fatal(err)
	}
}

// finish sends the rest of the request and returns the status and body of the answer, or an error unless it is complete.
func (c *openCall) finish() (status int, body string, err error) {
	if _, err := io.WriteString(c, c.rest); err != nil {
		return 0, "", err
	}
	return c.answer()
}

// answer returns the status and body of the answer, or an error unless it is complete.
func (c *openCall) answer() (status int, body string, err error) {
	if err := c.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// gatedInstance runs an instance with OpenConfiguration whose endpoints are gated: i-1 of service s, and a prefill and a decode engine.
func gatedInstance(t *testing.T, edits ...func(string) string) (*testInstance, *platformtest.GatedReplica) {
	t.Helper()
	x := startInstance(t, respondDone, edits...)
	gated := platformtest.NewGatedReplica(t)
	x.store.Put(platform.ReplicaTable, "i-1", platformtest.Entry(gated.Address, "ready"))
	x.store.Put(platform.ReplicaTable, "e-1", platformtest.EntryOf("e", "prefill", gated.Address))
	x.store.Put(platform.ReplicaTable, "e-2", platformtest.EntryOf("e", "decode", gated.Address))
	x.store.Put(platform.OperatorTable, platform.ConfigurationKey, platformtest.OpenConfiguration(t, 1))
	x.eventually("a ready instance", x.ready)
	x.eventually("listed endpoints", func() bool { return strings.Count(x.log.String(), `"message":"Endpoint"`) == 3 })
	return x, gated
}

// openCalls are requests that are open in each of the ways in which a change can meet them.
func (x *testInstance) openCalls(gated *platformtest.GatedReplica, round string) (waiting, unread []*openCall) {
	x.t.Helper()
	for name, upTo := range map[string]string{"head": "Content-", "body": "\r\n\r\nbo", "chunks": "\r\n2\r\nbo\r\n2\r\no"} {
		c := x.openCallAt("has sent half of its "+name, round+name, "/a/b")
		c.chunked = name == "chunks"
		c.begin(upTo)
		unread = append(unread, c)
	}
	return x.waitingCalls(gated, round, platformtest.SetLongPrompt), unread
}

// waitingCalls are requests that wait for an endpoint.
func (x *testInstance) waitingCalls(gated *platformtest.GatedReplica, round string, edit func(h http.Header)) (waiting []*openCall) {
	x.t.Helper()
	for name, path := range map[string]string{
		"waits for its answer": "/a/b", "waits and may be repeated": "/again/b", "waits for its first event": platformtest.MutePath,
		"waits for its next event": platformtest.StreamPath, "waits for its prefill": "/engine" + platformtest.MutePath,
	} {
		c := x.openCallAt(name, round+name, path)
		c.edit = edit
		c.begin("")
		waiting = append(waiting, c)
	}
	for _, c := range waiting {
		x.eventually("a request that "+c.name, func() bool { return gated.Received(c.id) })
	}
	return waiting
}

// releaseUntil releases the requests that the endpoint holds until done is closed.
func releaseUntil(gated *platformtest.GatedReplica, done chan struct{}) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			gated.Release()
		}
	}
}
