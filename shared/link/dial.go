package link

import (
	"context"
	"net"
	"syscall"
	"time"
)

// Limits on the time to open a connection.
const (
	// DialTimeout applies where there is no other peer to try. It leaves room for one retransmission of a lost SYN packet, which
	// the kernel sends after a second.
	DialTimeout = 1200 * time.Millisecond
	// QuickDialTimeout applies where another peer can be tried or the call is repeated soon: a hundred times the round-trip time.
	QuickDialTimeout = 300 * time.Millisecond
)

// Limits after which the kernel ends a monitored connection whose peer does not respond. They have to be longer than the timeouts
// of the calls on the connection.
const (
	// userTimeout is how long written bytes may stay unacknowledged: long enough for two retransmissions of a lost packet.
	userTimeout = 800 * time.Millisecond
	// probeInterval is the interval of keep-alive probes on an idle connection; the connection ends after maxUnansweredProbes.
	probeInterval       = time.Second
	maxUnansweredProbes = 2
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 18

// Dial opens a TCP connection that the kernel ends soon after its peer stops responding. Closing the connection resets it: if a
// network partition has delayed an abandoned request, the request must not arrive once the partition has healed.
func Dial(ctx context.Context, _, address string) (net.Conn, error) {
	return dial(ctx, address, monitoringDialer(DialTimeout))
}

// DialQuick is like Dial, with QuickDialTimeout as its limit.
func DialQuick(ctx context.Context, _, address string) (net.Conn, error) {
	return dial(ctx, address, monitoringDialer(QuickDialTimeout))
}

// DialEndpoint opens a TCP connection to an endpoint, without keep-alive probes and user timeout: the kernel does not reset a
// connection that it ends itself, so a request that a partition has delayed could arrive long after it was abandoned. The sender
// has to limit the time of each exchange.
func DialEndpoint(ctx context.Context, _, address string) (net.Conn, error) {
	return dial(ctx, address, &net.Dialer{Timeout: QuickDialTimeout, KeepAlive: -1})
}

// monitoringDialer returns a dialer for connections that the kernel ends when the peer does not respond.
func monitoringDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: maxUnansweredProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) {
				optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
}

func dial(ctx context.Context, address string, d *net.Dialer) (net.Conn, error) {
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		awaitPassedDeadline(ctx)
		return nil, err
	}
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// awaitPassedDeadline waits until ctx has ended if its deadline has passed. The dialer has a timer of its own and may be first: callers that
// still find ctx open would take the peer for unreachable.
func awaitPassedDeadline(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		<-ctx.Done()
	}
}
