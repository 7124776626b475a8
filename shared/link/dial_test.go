package link_test

import (
	"net"
	"syscall"
	"testing"

	"cowslipshunt.example/shared/link"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT.
const tcpUserTimeout = 18

// TestEndpointConnectionsHaveNoKernelTimeouts guards against the kernel ending an exchange with an endpoint: it would not reset the
// connection, as the sender does.
func TestEndpointConnectionsHaveNoKernelTimeouts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	for name, dial := range map[string]link.DialFunc{"endpoint": link.DialEndpoint, "monitored": link.DialQuick} {
		c, err := dial(t.Context(), "tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		raw, err := c.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		keepAlive, timeout := -1, -1
		err = raw.Control(func(fd uintptr) {
			keepAlive, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
			timeout, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
		})
		if err != nil {
			t.Fatal(err)
		}
		if off := keepAlive == 0 && timeout == 0; off != (name == "endpoint") {
			t.Errorf("%s: keep-alive %d, user timeout %d ms", name, keepAlive, timeout)
		}
		_ = c.Close()
	}
}
