package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cowslipshunt.example/shared/caller"
)

// TestResetDuringUploadIsNoCompleteResponse guards against partial responses that look complete: an endpoint responds to a long request at once
// with neither a length nor chunks, and resets the connection while the request is being written.
func TestResetDuringUploadIsNoCompleteResponse(t *testing.T) {
	const exchanges = 40
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(c).ReadString('\n')
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	for name, transport := range map[string]*http.Transport{"pooled": caller.NewTransport(10 * time.Second), "single use": caller.NewSingleUseTransport(10 * time.Second)} {
		complete := 0
		for range exchanges {
			r, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/", nil)
			if err != nil {
				t.Fatal(err)
			}
			caller.SetNonReplayableBody(r, make([]byte, 16<<20))
			resp, err := transport.RoundTrip(r)
			if err != nil {
				continue
			}
			if _, err := io.ReadAll(resp.Body); err == nil {
				complete++
			}
			_ = resp.Body.Close()
		}
		if complete > 0 {
			t.Errorf("%s: %d of %d partial responses were read as complete ones", name, complete, exchanges)
		}
	}
}
