package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
)

// hangingAddress returns an address to which no further connection can be opened: attempts get no answer.
func hangingAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprint("127.0.0.1:", name.(*syscall.SockaddrInet4).Port)
	for {
		c, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// TestRequestsThatWaitEndWithARefusal guards against requests that end without an answer at their deadline: while an endpoint is silent, has
// their prompt prefilled or does not accept their connection. Only a stream that has begun ends without its last event.
func TestRequestsThatWaitEndWithARefusal(t *testing.T) {
	// A prefill is given up after 800 ms, an attempt to connect after 300 ms.
	const timeout, dialingTimeout = 600 * time.Millisecond, 150 * time.Millisecond
	x, gated := gatedInstance(t)
	x.store.Put(platform.ReplicaTable, "o-1", platformtest.EntryOf("o", "", hangingAddress(t)))
	x.eventually("a listed endpoint", func() bool { return strings.Count(x.log.String(), `"message":"Endpoint"`) == 4 })
	edit := func(h http.Header) {
		platformtest.SetLongPrompt(h)
		platformtest.SetTimeout(h, timeout)
	}
	dialing := x.openCallAt("waits for a connection", "dial", "/other/b")
	dialing.edit = func(h http.Header) { platformtest.SetTimeout(h, dialingTimeout) }
	dialing.begin("")
	for _, c := range append(x.waitingCalls(gated, "deadline ", edit), dialing) {
		status, body, err := c.answer()
		if c.path == platformtest.StreamPath {
			if !errors.Is(err, io.ErrUnexpectedEOF) || body != platformtest.FirstEvent {
				t.Errorf("a request that %s got %q, %v", c.name, body, err)
			}
			continue
		}
		want := "504 Expired: the deadline passed\n"
		if c == dialing || strings.HasPrefix(c.path, "/engine/") {
			want = "503 NotRun: the deadline passed\n"
		}
		if got := fmt.Sprint(status, " ", body); err != nil || got != want {
			t.Errorf("a request that %s got %q, %v; want %q", c.name, got, err, want)
		}
	}
}

// TestCallerWithLittleTimeBlamesNoEndpoint guards against endpoints and failure domains that are avoided, and caches that count as lost, because
// the time of callers is over while connections to the endpoints are opened.
func TestCallerWithLittleTimeBlamesNoEndpoint(t *testing.T) {
	const callers, timeout = 12, 100 * time.Millisecond
	x, _ := gatedInstance(t)
	x.store.Put(platform.ReplicaTable, "o-1", platformtest.EntryOf("o", "", hangingAddress(t)))
	x.eventually("a listed endpoint", func() bool { return strings.Count(x.log.String(), `"message":"Endpoint"`) == 4 })
	var calls []*openCall
	for n := range callers {
		c := x.openCallAt("has little time", fmt.Sprint(n), "/other/b")
		c.edit = func(h http.Header) { platformtest.SetTimeout(h, timeout) }
		calls = append(calls, c)
	}
	for _, c := range calls {
		c.begin("")
	}
	for _, c := range calls {
		if status, body, err := c.answer(); status != http.StatusServiceUnavailable || body != "NotRun: the deadline passed\n" || err != nil {
			t.Errorf("got status %d, %q, %v", status, body, err)
		}
	}
	if strings.Contains(x.log.String(), `"message":"Failed"`) {
		t.Error("the endpoint counts as failed")
	}
}

// TestReloadAndStopGiveOpenRequestsAnAnswer guards against requests that end without an answer as the settings are loaded again, or as the
// instance stops: those that an endpoint holds to the end of the grace period, and those whose head or body is read until the instance refuses
// connections.
func TestReloadAndStopGiveOpenRequestsAnAnswer(t *testing.T) {
	x, gated := gatedInstance(t, replaceSettings("bounds.grace_s=8", "bounds.grace_s=4"))
	waiting, unread := x.openCalls(gated, "stop ")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	x.eventually("settings that are loaded again", func() bool { return strings.Contains(x.log.String(), `"message":"Reloaded"`) })
	x.stop()
	x.eventually("an instance that refuses connections", func() bool {
		c, err := net.Dial("tcp", x.settings.CallerAddress)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	for _, c := range unread {
		if status, body, err := c.finish(); err != nil || status != http.StatusServiceUnavailable || body != "NotRun: the instance stops\n" {
			t.Errorf("a request that %s got status %d, %q, %v", c.name, status, body, err)
		}
	}
	for _, c := range waiting {
		status, body, err := c.answer()
		if c.path == platformtest.StreamPath {
			if !errors.Is(err, io.ErrUnexpectedEOF) || body != platformtest.FirstEvent {
				t.Errorf("a request that %s got %q, %v", c.name, body, err)
			}
			continue
		}
		if err != nil || status != http.StatusBadGateway && status != http.StatusServiceUnavailable || !strings.HasSuffix(body, ": the instance stops\n") {
			t.Errorf("a request that %s got status %d, %q, %v", c.name, status, body, err)
		}
	}
	if err := <-x.done; err == nil {
		t.Error("serve did not report that requests were open")
	}
}

// TestCallerThatClosesItsDirectionGetsARefusal guards against requests that end without an answer, and against endpoints that work on: a caller
// that has closed its own direction looks like one that has disconnected until something is written to it. Only a stream that has begun ends
// without its last event.
func TestCallerThatClosesItsDirectionGetsARefusal(t *testing.T) {
	x, gated := gatedInstance(t)
	waiting := x.waitingCalls(gated, "half ", platformtest.SetLongPrompt)
	closed := time.Now()
	for _, c := range waiting {
		if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range waiting {
		status, body, err := c.answer()
		if c.path == platformtest.StreamPath {
			if err == nil || body != platformtest.FirstEvent {
				t.Errorf("a request that %s got %q, %v", c.name, body, err)
			}
		} else if err != nil || status != http.StatusBadGateway && status != http.StatusServiceUnavailable || !strings.HasSuffix(body, ": the client disconnected\n") {
			t.Errorf("a request that %s got status %d, %q, %v", c.name, status, body, err)
		}
		x.eventually("an endpoint that stops", func() bool { return !gated.Left(c.id).IsZero() })
		if took := gated.Left(c.id).Sub(closed); took > maxWorkAfterDisconnect {
			t.Errorf("the endpoint of a request that %s was left after %v", c.name, took)
		}
	}
}
