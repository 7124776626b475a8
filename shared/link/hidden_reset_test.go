package link_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cowslipshunt.example/shared/link"
	"github.com/jonboulle/clockwork"
)

// uploadBytes is more than the kernel holds of a request, so that its write is still at work while the response is read.
const uploadBytes = 16 << 20

// TestResetDuringUploadIsNoCompleteResponse guards against partial responses that look complete: an endpoint responds to a long request at once
// with neither a length nor chunks, and resets the connection. The kernel reports the reset to whichever call on the socket comes first, which
// may be the write of the request.
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
	complete := 0
	upload := make([]byte, uploadBytes)
	for range exchanges {
		pool := link.NewPool[string](clockwork.NewRealClock(), link.DialEndpoint)
		c, err := pool.Get(t.Context(), "a", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		c.Send(ctx, net.Buffers{[]byte("POST / HTTP/1.1\r\nHost: h\r\n\r\n"), upload})
		resp, err := c.ReadResponse(http.MethodPost)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		if err == nil {
			complete++
		}
		c.Close()
		cancel()
	}
	if complete > 0 {
		t.Errorf("%d of %d partial responses were read as complete ones", complete, exchanges)
	}
}
