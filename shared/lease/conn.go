package lease

import (
	"context"
	"net"
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// GuardedDial returns a dialer whose connections refuse each write with ErrNotHeld while the lease is not held.
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

// Write asks for the lease right before the bytes leave.
func (c *guardedConn) Write(data []byte) (int, error) {
	if _, ok := c.keeper.Guard(0); !ok {
		return 0, ErrNotHeld
	}
	return c.Conn.Write(data)
}
