package heads_test

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/shared/connections"
	"cowslipshunt.example/shared/heads"
	"github.com/jonboulle/clockwork"
)

const (
	waitTimeout = 10 * time.Second
	maxHead     = 2000
	headTimeout = 300 * time.Millisecond
)

// testServer is a guarded server that answers each request with the length of its body.
type testServer struct {
	t       testing.TB
	address string
	budget  *heads.Budget
	reasons chan heads.Reason
	conns   *connections.Tracker
}

func newServer(t testing.TB, maxCost int64, maxConns int) *testServer {
	t.Helper()
	s := &testServer{t: t, reasons: make(chan heads.Reason, 100)}
	encode := func(r heads.Refusal) []byte {
		status := map[heads.Reason]int{heads.TooLarge: 431, heads.TooSlow: 408}[r.Reason]
		if status == 0 {
			status = 503
		}
		return fmt.Appendf(nil, "HTTP/1.1 %d x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status)
	}
	s.budget = heads.New(maxCost, maxConns, encode, func(r heads.Refusal) {
		select {
		case s.reasons <- r.Reason:
		default:
		}
	}, heads.WithStall(headTimeout))
	srv := &http.Server{ReadHeaderTimeout: waitTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == "/long" {
			_, _ = w.Write(make([]byte, 32<<20))
			return
		}
		_, _ = fmt.Fprint(w, n)
	})}
	s.conns = connections.Track(srv, clockwork.NewRealClock())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	guard := s.budget.Guard(srv, maxConns, func() heads.Limits { return heads.Limits{MaxBytes: maxHead, Timeout: headTimeout} })
	go func() { _ = srv.Serve(s.conns.Listener(guard(l))) }()
	t.Cleanup(func() { _ = srv.Close() })
	return s
}

// dial opens a connection and sends the parts of a request with a short time between them.
func (s *testServer) dial(parts ...string) (net.Conn, *bufio.Reader) {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	for _, p := range parts {
		_, _ = io.WriteString(c, p)
		time.Sleep(10 * time.Millisecond)
	}
	return c, bufio.NewReader(c)
}

// status reads a response and returns its status, 0 if there is none.
func status(in *bufio.Reader) int {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// headOf returns a head of n bytes.
func headOf(n int) string {
	head := "GET / HTTP/1.1\r\nHost: h\r\nA: "
	return head + strings.Repeat("a", n-len(head)-4) + "\r\n\r\n"
}

// TestHeadAtItsLimit guards against limits that refuse what they allow: a head of the limit's length is served and one byte more refused, in any
// parts, first on a connection and after requests with bodies, also if those are longer than the limit.
func TestHeadAtItsLimit(t *testing.T) {
	s := newServer(t, 1<<30, 100)
	body := strings.Repeat("\n", 3*maxHead)
	before := []string{"", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)}
	for _, first := range before {
		for _, cut := range []int{1, 20, 1000, maxHead - 3, maxHead - 1} {
			for n, want := range map[int]int{maxHead: 200, maxHead + 1: 431} {
				c, in := s.dial(first)
				if first != "" && status(in) != 200 {
					t.Fatal("a first request is not served")
				}
				time.Sleep(5 * time.Millisecond)
				head := headOf(n)
				_, _ = io.WriteString(c, head[:cut])
				time.Sleep(5 * time.Millisecond)
				_, _ = io.WriteString(c, head[cut:])
				if got := status(in); got != want {
					t.Errorf("a head of %d bytes, cut at %d, after %.20q got %d, want %d", n, cut, first, got, want)
				}
				_ = c.Close()
			}
		}
	}
}

// TestLateHeadIsRefused guards against heads that never end, and against refusals that their callers cannot read.
func TestLateHeadIsRefused(t *testing.T) {
	s := newServer(t, 1<<30, 100)
	_, in := s.dial("GET / HTTP/1.1\r\nHo")
	if got := status(in); got != 408 {
		t.Errorf("got %d, want 408", got)
	}
	_, in = s.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if got := status(in); got != 200 {
		t.Errorf("got %d, want 200", got)
	}
}

// TestLargestHeadIsRefusedFirst guards against a budget that refuses ordinary callers for the heads of others.
func TestLargestHeadIsRefusedFirst(t *testing.T) {
	s := newServer(t, 32<<10, 100)
	fields := strings.Repeat("a:\r\n", 60)
	_, first := s.dial("GET / HTTP/1.1\r\nHost: h\r\n"+fields, fields)
	_, second := s.dial("GET / HTTP/1.1\r\nHost: h\r\n" + fields)
	_, ordinary := s.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if got := status(ordinary); got != 200 {
		t.Errorf("an ordinary request got %d", got)
	}
	if got := status(first); got != 503 {
		t.Errorf("the largest head got %d, want 503", got)
	}
	if got := status(second); got != 408 {
		t.Errorf("the other head got %d, want 408, as it is not complete", got)
	}
	deadline := time.Now().Add(waitTimeout)
	for s.budget.Held() != 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if held := s.budget.Held(); held != 0 {
		t.Errorf("%d bytes are held by no head", held)
	}
}

// TestNewConnectionClosesOldestWithoutRequest guards against descriptors that run out, and against requests that are lost for it.
func TestNewConnectionClosesOldestWithoutRequest(t *testing.T) {
	s := newServer(t, 1<<30, 3)
	slow, slowIn := s.dial("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n1")
	_, silent := s.dial()
	_, partial := s.dial("GET / HTTP/1.1\r\n")
	_, in := s.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if got := status(in); got != 200 {
		t.Errorf("a new connection got %d", got)
	}
	if _, err := silent.ReadByte(); err == nil {
		t.Error("the silent connection is open")
	}
	if got := status(partial); got != 408 {
		t.Errorf("the connection with a part of a head got %d, want 408", got)
	}
	_, _ = io.WriteString(slow, "2")
	if got := status(slowIn); got != 200 {
		t.Errorf("the request in progress got %d", got)
	}
}

// TestClosedConnectionWithUnreadRequestIsRefused guards against a reset in place of a refusal: a new connection gives way to the next one before
// the server has read the request on it.
func TestClosedConnectionWithUnreadRequestIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	encode := func(heads.Refusal) []byte {
		return []byte("HTTP/1.1 503 x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	}
	limits := func() heads.Limits { return heads.Limits{MaxBytes: maxHead, Timeout: headTimeout} }
	guarded := heads.New(1<<30, 1, encode, func(heads.Refusal) {}).Guard(&http.Server{}, 1, limits)(l)
	s := &testServer{t: t, address: l.Addr().String()}
	var accepted []net.Conn
	_, in := s.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	for range 2 {
		c, err := guarded.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		accepted = append(accepted, c)
		s.dial()
	}
	if n, err := accepted[0].Read(make([]byte, maxHead)); n != 0 || err != io.EOF {
		t.Fatalf("the server reads %d bytes, %v", n, err)
	}
	_ = accepted[0].Close()
	if got := status(in); got != http.StatusServiceUnavailable {
		t.Errorf("the request got the status %d", got)
	}
}

// TestManyNewConnectionsStayBounded guards against connections that linger after their refusal without a bound.
func TestManyNewConnectionsStayBounded(t *testing.T) {
	const maxConns = 4
	s := newServer(t, 1<<30, maxConns)
	for range 100 {
		s.dial("GET / HTTP/1.1\r\n")
		if open := s.budget.Open(); open > maxConns+20 {
			t.Fatalf("%d connections are open", open)
		}
	}
}

// TestSlowReaderKeepsItsConnection guards against a caller that reads a long answer all the time, for longer than a write may be blocked, and is
// taken for one that reads nothing when a new caller comes.
func TestSlowReaderKeepsItsConnection(t *testing.T) {
	s := newServer(t, 1<<30, 1)
	c, _ := s.dial("GET /long HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	type result struct {
		bytes int64
		err   error
	}
	checked, ended := make(chan struct{}), make(chan result, 1)
	go func() {
		var r result
		for wait := true; wait && r.err == nil; time.Sleep(headTimeout / 30) {
			var n int64
			n, r.err = io.CopyN(io.Discard, c, 256<<10)
			r.bytes += n
			select {
			case <-checked:
				wait = false
			default:
			}
		}
		n, err := io.Copy(io.Discard, c)
		ended <- result{bytes: r.bytes + n, err: cmp.Or(r.err, err)}
	}()
	// Less than the whole answer is read meanwhile, also with what the kernel holds.
	time.Sleep(2 * headTimeout)
	if _, in := s.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n"); status(in) == http.StatusOK {
		t.Error("another caller got the connection")
	}
	close(checked)
	if r := <-ended; r.err != nil || r.bytes < 32<<20 {
		t.Errorf("the answer ended after %d bytes: %v", r.bytes, r.err)
	}
}

// TestCallersThatReadNothingGiveWay guards against callers that take all connections for ever: they send requests one after the other, and read
// no answer.
func TestCallersThatReadNothingGiveWay(t *testing.T) {
	const request = "GET /long HTTP/1.1\r\nHost: h\r\n\r\n"
	s := newServer(t, 1<<30, 2)
	s.dial(strings.Repeat(request, 5))
	s.dial(strings.Repeat(request, 5))
	served := false
	for deadline := time.Now().Add(waitTimeout); !served && time.Now().Before(deadline); time.Sleep(headTimeout / 5) {
		_, in := s.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		served = status(in) == http.StatusOK
	}
	if !served {
		t.Error("no other caller is served")
	}
}
