package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/platform/platformtest"
)

// maxShapeBytes bounds what is sent of a shape that has no end.
const maxShapeBytes = 48 << 20

// callerShape is what a caller outside the protocol or the limits sends.
type callerShape struct {
	name string
	// first is sent once, next again and again until the connection ends; each with a pause after it.
	first, next string
	pause       time.Duration
	// want are the allowed statuses of the first response; 0 is a connection that is closed without one.
	want []int
}

// callerShapes has the shapes and their outcomes.
func callerShapes() []callerShape {
	const line, host = "POST /a/b HTTP/1.1\r\n", "Host: h.example\r\n"
	const head = line + host
	h, fields := http.Header{}, strings.Builder{}
	platformtest.Identify(h, "s", "k")
	_ = h.Write(&fields)
	identity := fields.String()
	chunked := head + identity + "Transfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("a", 4<<10)
	bad, tooLarge := []int{400}, []int{413}
	return []callerShape{
		{name: "body without end", first: head + identity + "Content-Length: 9000000000\r\n\r\n", next: long, want: tooLarge},
		{name: "chunks without end", first: chunked, next: "1000\r\n" + long + "\r\n", want: tooLarge},
		{name: "chunks of one byte", first: chunked, next: strings.Repeat("1\r\na\r\n", 1000), want: []int{400, 413}},
		{name: "chunk extension without end", first: chunked + "1;", next: long, want: bad},
		{name: "trailer without end", first: chunked + "0\r\n", next: "A: " + long + "\r\n", want: []int{0, 400, 431}},
		{name: "one byte at a time", first: head + "A: ", next: "a", pause: 700 * time.Millisecond, want: []int{408}},
		{name: "silent in a head", first: head, want: []int{408}},
		{name: "silent in a body", first: head + identity + "Content-Length: 100\r\n\r\na", want: []int{408, 503}},
		{name: "other protocol", first: "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + strings.Repeat("\x00", 600) + "\r\n\r\n", want: bad},
		{name: "HTTP/2 preface", first: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", want: []int{400, 404, 505}},
		{name: "folded line", first: head + "A: b\r\n c\r\n\r\n", want: []int{400, 401, 404}},
		{name: "length and chunks", first: head + identity + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", want: bad},
		{name: "chunks and length", first: head + identity + "transfer-encoding: chunked\r\nCONTENT-LENGTH: 4\r\n\r\n0\r\n\r\n", want: bad},
		{name: "two lengths", first: head + identity + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbookx", want: bad},
		{name: "NUL in a value", first: head + "A: b\x00c\r\n\r\n", want: bad},
		{name: "NUL in a name", first: head + "A\x00: b\r\n\r\n", want: bad},
		{name: "other expectation", first: head + identity + "Expect: tea\r\nContent-Length: 4\r\n\r\nbook", want: []int{417}},
		{name: "absolute target", first: "POST http://h.example/a/b HTTP/1.1\r\n" + host + identity + "Content-Length: 4\r\n\r\nbook", want: []int{200, 400, 404}},
		{name: "no host", first: line + identity + "Content-Length: 4\r\n\r\nbook", want: bad},
	}
}

// firstStatus sends a shape and returns the status of the first response, 0 if the connection ends without one, and -1 if neither came.
func (s *callerShape) firstStatus(t *testing.T, address string) int {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	go func() {
		_, err := io.WriteString(c, s.first)
		for sent := 0; s.next != "" && sent < maxShapeBytes && err == nil; sent += len(s.next) {
			_, err = io.WriteString(c, s.next)
			time.Sleep(s.pause)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		return resp.StatusCode
	}
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return -1
	}
	return 0
}

// TestShapesOfCallersEndInARefusal guards against callers outside the protocol that end or block the process, or get an untrue answer.
func TestShapesOfCallersEndInARefusal(t *testing.T) {
	crowdMutex.Lock()
	defer crowdMutex.Unlock()
	p := startProgram(t, buildProgram(t))
	for _, s := range callerShapes() {
		t.Run(s.name, func(t *testing.T) {
			got := s.firstStatus(t, p.settings.CallerAddress)
			t.Logf("first status %d", got)
			allowed := false
			for _, want := range s.want {
				allowed = allowed || got == want
			}
			if !allowed {
				t.Errorf("got status %d, want one of %d", got, s.want)
			}
			if !p.alive() || !holdsInTime(p.served) {
				t.Fatalf("no ordinary request is served afterwards: %s", p.output)
			}
			if rss := p.rssMB(); rss > crowdMemoryMB {
				t.Errorf("the process holds %d MB, want at most %d", rss, crowdMemoryMB)
			}
		})
	}
}
