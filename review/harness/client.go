package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	host = "ficu95.example"
	key  = "3fexd9dnn2ctnfzs989a"
)

var lastID atomic.Int64

func newID(prefix string) string { return fmt.Sprintf("%s%06x", prefix, lastID.Add(1)) }

// result is what a client saw of one request.
type result struct {
	id     string
	router *routerProcess
	sent   time.Time
	ended  time.Time
	status int
	// complete is set if the whole answer arrived.
	complete, sealed, closes bool
	// onKept is set if the connection had carried another request before.
	onKept     bool
	retryAfter string
	bytes      int
	err        error
}

func (r *result) String() string {
	return fmt.Sprintf("status %d, complete %v, %d bytes, after %d ms, error %v", r.status, r.complete, r.bytes, r.ended.Sub(r.sent).Milliseconds(), r.err)
}

// clientConn is a client's connection to a router.
type clientConn struct {
	conn net.Conn
	in   *bufio.Reader
	used bool
}

func dialRouter(r *routerProcess) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", r.front(), time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: c, in: bufio.NewReader(c)}, nil
}

func (c *clientConn) close() { _ = c.conn.Close() }

// request is one request of a client.
type request struct {
	id, method, path string
	deadline         time.Duration
	// head holds further lines of the head.
	head string
	body []byte
}

// do sends a request and reads its answer. The client waits for the deadline that it has stated and a second more.
func (c *clientConn) do(q request) *result {
	res := &result{id: q.id, sent: time.Now(), onKept: c.used}
	c.used = true
	defer func() { res.ended = time.Now() }()
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n", q.method, q.path, host, key)
	b.WriteString(field("requestID", q.id) + field("deadline", strconv.FormatInt(q.deadline.Milliseconds(), 10)) + q.head)
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	if _, res.err = (&net.Buffers{[]byte(b.String()), q.body}).WriteTo(c.conn); res.err != nil {
		return res
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: q.method})
	if err != nil {
		res.err = err
		return res
	}
	res.status, res.sealed, res.closes = resp.StatusCode, resp.Header.Get(words["seal"]) != "", resp.Close
	res.retryAfter = resp.Header.Get("Retry-After")
	n, err := io.Copy(io.Discard, resp.Body)
	res.bytes, res.err, res.complete = int(n), err, err == nil
	return res
}
