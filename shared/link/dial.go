package link

import (
	"context"
	"net"
	"syscall"
	"time"
)

// Bounds of a connection whose peer has fallen silent. They stay under the time in which an instance has to notice.
const (
	// DialTimeout bounds the opening of a connection where there is no other to turn to. A lost opening packet is sent again
	// after a second.
	DialTimeout = 1200 * time.Millisecond
	// QuickTimeout is the same where there is: a hundred times the way there and back.
	QuickTimeout = 300 * time.Millisecond
	// userTimeout bounds how long written bytes may stay unacknowledged: long enough for two retransmissions of a lost packet.
	userTimeout = 800 * time.Millisecond
	// probeEvery is how often an idle peer is probed, and probes how often without an answer.
	probeEvery = time.Second
	probes     = 2
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 18

// Dial opens a TCP connection that fails soon when its peer falls silent, and that is reset when it is closed: what a cut holds
// up of a request that was given up must not arrive once it has healed.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return dial(ctx, network, address, DialTimeout)
}

// DialQuick is Dial with QuickTimeout.
func DialQuick(ctx context.Context, network, address string) (net.Conn, error) {
	return dial(ctx, network, address, QuickTimeout)
}

func dial(ctx context.Context, network, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
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
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}
