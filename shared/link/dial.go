package link

import (
	"context"
	"net"
	"syscall"
	"time"
)

// Times of opening a connection.
const (
	// DialTimeout bounds the opening where there is no other peer to turn to. A lost opening packet is sent again after a second.
	DialTimeout = 1200 * time.Millisecond
	// QuickTimeout is the same where there is, or where the call is soon made again: a hundred times the way there and back.
	QuickTimeout = 300 * time.Millisecond
)

// Bounds after which the kernel ends a watched connection whose peer has fallen silent. The bounds of the calls over it have to
// be shorter.
const (
	// userTimeout bounds how long written bytes may stay unacknowledged: long enough for two retransmissions of a lost packet.
	userTimeout = 800 * time.Millisecond
	// probeEvery is how often an idle peer is probed, and probes how often without an answer.
	probeEvery = time.Second
	probes     = 2
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 18

// Dial opens a TCP connection that the kernel ends soon when its peer falls silent, and that is reset when it is closed: what a
// cut holds up of a request that was given up must not arrive once it has healed.
func Dial(ctx context.Context, _, address string) (net.Conn, error) {
	return dial(ctx, address, watched(DialTimeout))
}

// DialQuick is Dial with QuickTimeout.
func DialQuick(ctx context.Context, _, address string) (net.Conn, error) {
	return dial(ctx, address, watched(QuickTimeout))
}

// DialEndpoint opens a TCP connection to an endpoint. The kernel does not watch it: what it ends, it does not reset, and a
// request that a cut holds up may arrive long after it was given up. The sender has to bound each exchange.
func DialEndpoint(ctx context.Context, _, address string) (net.Conn, error) {
	return dial(ctx, address, &net.Dialer{Timeout: QuickTimeout, KeepAlive: -1})
}

func watched(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}

func dial(ctx context.Context, address string, d *net.Dialer) (net.Conn, error) {
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}
