package main

import (
	"net/http"
	"strings"
	"testing"
)

// TestRequestThatIsNotReadLeavesALine guards against requests that end without an answer and without a line in any log: the instance stops
// and closes the connection after the answer before.
func TestRequestThatIsNotReadLeavesALine(t *testing.T) {
	received, proceed := make(chan struct{}), make(chan struct{})
	x := startInstance(t, func(r *http.Request, body []byte) (string, bool) {
		close(received)
		<-proceed
		return respondDone(r, body)
	})
	x.configure(1, "k")
	x.listEndpoint("i-1", "ready")
	x.eventually("a ready instance", x.ready)
	x.eventually("a listed endpoint", func() bool { return strings.Contains(x.log.String(), `"message":"Endpoint"`) })
	x.stop()
	x.eventually("an instance that stops", func() bool { return strings.Contains(x.log.String(), `"message":"Stopping"`) })
	c := x.dial()
	c.send("1")
	<-received
	c.send("2")
	close(proceed)
	x.eventually("a line about the second request", func() bool {
		for line := range strings.SplitSeq(x.log.String(), "\n") {
			if strings.Contains(line, `"message":"ClosedUnread"`) {
				return strings.Contains(line, `"Caller":"`+c.LocalAddr().String()+`"`) && strings.Contains(line, `"Reason":"LastAnswer"`)
			}
		}
		return false
	})
	if err := <-x.done; err != nil {
		t.Errorf("serve returned %v", err)
	}
}
