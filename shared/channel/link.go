package channel

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"cowslipshunt.example/wire"
	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"
)

// Limits and intervals of a link.
const (
	linkQueueLength   = 1024
	maxFrameBytes     = 16 << 20
	helloTimeout      = 3 * time.Second
	writeTimeout      = 3 * time.Second
	heartbeatInterval = time.Second
	heartbeatTimeout  = 3 * time.Second
	minRedialDelay    = 100 * time.Millisecond
	maxRedialDelay    = 2 * time.Second
)

// link is an open WebSocket connection to a peer.
type link struct {
	conn   *websocket.Conn
	peer   wire.Hello
	out    chan []byte
	cancel context.CancelFunc
}

// send queues a frame. If the queue is full, the peer is too slow and send closes the link; the peer gets the complete state again
// when it is linked again.
func (l *link) send(frame []byte) {
	select {
	case l.out <- frame:
	default:
		l.cancel()
	}
}

// ServeHTTP accepts a link that a peer dials and serves it until it ends.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	h.wg.Add(1)
	defer h.wg.Done()
	err = h.runLink(h.ctx, conn)
	h.logger.Debug().Err(err).Msg("link from a peer ended")
}

// Dial maintains a link to an address in the background: it dials, and dials again with back-off when the link ends, until ctx or
// the hub ends.
func (h *Hub) Dial(ctx context.Context, address string) {
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		h.redial(ctx, address)
	}()
}

// redial dials an address again and again until ctx or the hub ends. The delay between two attempts grows up to maxRedialDelay and
// starts anew after a link that lasted longer than that.
func (h *Hub) redial(ctx context.Context, address string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(h.ctx, cancel)()
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = minRedialDelay
	delay.MaxInterval = maxRedialDelay
	for ctx.Err() == nil {
		started := time.Now()
		err := h.dialOnce(ctx, address)
		h.logger.Debug().Err(err).Str("Address", address).Msg("link to a peer ended")
		if time.Since(started) > maxRedialDelay {
			delay.Reset()
		}
		sleep(ctx, delay.NextBackOff())
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// dialOnce dials an address and serves the link until it ends.
func (h *Hub) dialOnce(ctx context.Context, address string) error {
	dialCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	header := http.Header{}
	h.secret.SetHeader(header)
	conn, _, err := websocket.Dial(dialCtx, "ws://"+address+"/control", &websocket.DialOptions{HTTPHeader: header})
	if err != nil {
		return fmt.Errorf("dial %s: %w", address, err)
	}
	return h.runLink(ctx, conn)
}

// runLink exchanges hellos on a new connection and then messages until the link ends.
func (h *Hub) runLink(ctx context.Context, conn *websocket.Conn) error {
	defer conn.CloseNow()
	conn.SetReadLimit(maxFrameBytes)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peer, err := h.exchangeHellos(ctx, conn)
	if err != nil {
		return err
	}
	l := &link{conn: conn, peer: peer, out: make(chan []byte, linkQueueLength), cancel: cancel}
	h.addLink(l)
	defer h.removeLink(l)
	h.wg.Add(2)
	go func() {
		defer h.wg.Done()
		defer cancel()
		l.writeFrames(ctx)
	}()
	go func() {
		defer h.wg.Done()
		defer cancel()
		l.heartbeat(ctx)
	}()
	return h.readFrames(ctx, l)
}

// exchangeHellos sends the hub's hello and returns the peer's.
func (h *Hub) exchangeHellos(ctx context.Context, conn *websocket.Conn) (wire.Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	frame, err := Encode(h.self)
	if err != nil {
		return wire.Hello{}, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, frame); err != nil {
		return wire.Hello{}, err
	}
	_, data, err := conn.Read(ctx)
	if err != nil {
		return wire.Hello{}, err
	}
	return Decode[wire.Hello](data)
}

// readFrames delivers the peer's messages until reading fails. It sets the sender to the instance in the peer's hello, whatever the
// message says.
func (h *Hub) readFrames(ctx context.Context, l *link) error {
	for {
		_, data, err := l.conn.Read(ctx)
		if err != nil {
			return err
		}
		e, err := Decode[wire.Envelope](data)
		if err != nil {
			return err
		}
		e.From = l.peer.Instance
		h.deliver(e)
	}
}

// writeFrames writes the queued frames until a write fails or ctx ends.
func (l *link) writeFrames(ctx context.Context) {
	for {
		select {
		case frame := <-l.out:
			if l.writeFrame(ctx, frame) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (l *link) writeFrame(ctx context.Context, frame []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return l.conn.Write(ctx, websocket.MessageBinary, frame)
}

// heartbeat pings the peer at random intervals, on average heartbeatInterval, and returns when a ping gets no answer within
// heartbeatTimeout.
func (l *link) heartbeat(ctx context.Context) {
	for {
		sleep(ctx, heartbeatInterval/2+rand.N(heartbeatInterval))
		pingCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		err := l.conn.Ping(pingCtx)
		cancel()
		if err != nil {
			return
		}
	}
}
