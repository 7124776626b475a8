package lease

import (
	"context"
	"net"
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// GuardedDial wraps dial so that writes to its connections fail with ErrNotHeld while the lease is not held.
func (k *Keeper) GuardedDial(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn, keeper: k}, nil
	}
}

type guardedConn struct {
	net.Conn
	keeper *Keeper
}

// Write checks the lease right before it sends the data.
func (c *guardedConn) Write(data []byte) (int, error) {
	if _, ok := c.keeper.Guard(0); !ok {
		return 0, ErrNotHeld
	}
	return c.Conn.Write(data)
}
