package main

import (
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"cowslipshunt.example/platform/platformtest"
)

// TestLogTellsHowTheCallerHasGone guards against logs that do not tell a caller that has closed its connection from one whose connection was
// reset, or from a live one whose request the instance has ended itself.
func TestLogTellsHowTheCallerHasGone(t *testing.T) {
	x, gated := gatedInstance(t)
	for want, end := range map[string]func(c *net.TCPConn) error{
		"connection of the caller: EOF": (*net.TCPConn).Close,
		"connection reset by peer": func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		},
	} {
		calls := x.waitingCalls(gated, want, func(h http.Header) { platformtest.SetLongPrompt(h) })
		for _, c := range calls {
			if err := end(c.Conn.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
		}
		for _, c := range calls {
			x.eventually("the end of "+c.id, func() bool { return strings.Contains(x.endOf(c.id), want) })
		}
	}
}

// endOf returns the line of the log with which a request has ended without an answer, or an empty text.
func (x *testInstance) endOf(id string) string {
	for line := range strings.SplitSeq(x.log.String(), "\n") {
		if strings.Contains(line, `"Request":"`+id+`"`) && strings.Contains(line, "the client disconnected") {
			return line
		}
	}
	return ""
}

// TestCallersListenerHasItsQueue guards against requests that are reset at a stop: connections in the queue of a listener are served before it
// closes only if the queue can be looked at through all wrappers.
func TestCallersListenerHasItsQueue(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	wrapped := listenForCallers(l)
	_, seen := wrapped.(syscall.Conn)
	_, ended := wrapped.(interface{ SetDeadline(time.Time) error })
	if !seen || !ended {
		t.Errorf("the wrapped listener is seen as a socket: %v, and has a deadline: %v", seen, ended)
	}
}
