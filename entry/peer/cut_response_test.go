package peer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cowslipshunt.example/entry/admission"
	"cowslipshunt.example/entry/peer"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// noLinks implements peer.Links.
type noLinks struct{}

func (noLinks) Links() []wire.Hello { return nil }

// TestResponseCutByAResetIsAborted guards against partial responses that callers take for complete ones: a peer responds to a long request at
// once with neither a length nor chunks, and resets the connection while the request is being forwarded.
func TestResponseCutByAResetIsAborted(t *testing.T) {
	const exchanges = 80
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
	complete, body := 0, make([]byte, 16<<20)
	for range exchanges {
		f := peer.NewForwarder(wire.Hello{Instance: "a", Domain: "a"}, []peer.Entry{{Instance: "b", Domain: "b", Address: l.Addr().String()}}, "secret", noLinks{}, clockwork.NewRealClock(), 10*time.Second)
		func() {
			defer func() { _ = recover() }()
			admitted := &admission.Request{ID: "1", Workspace: document.Workspace{Name: "w"}}
			r := httptest.NewRequest(http.MethodPost, "/x", nil)
			if p := f.Forward(httptest.NewRecorder(), r, admitted, body); p == nil {
				complete++
			}
		}()
	}
	if complete > 0 {
		t.Errorf("%d of %d partial responses were passed on as complete ones", complete, exchanges)
	}
}
