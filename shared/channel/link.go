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

// Bounds of a link.
const (
	linkQueue       = 1024
	maxFrame        = 16 << 20
	helloTimeout    = 3 * time.Second
	writeTimeout    = 3 * time.Second
	heartbeatEvery  = time.Second
	heartbeatWithin = 3 * time.Second
	redialAtFirst   = 100 * time.Millisecond
	redialAtMost    = 2 * time.Second
)

// link is one open WebSocket to a peer.
type link struct {
	conn *websocket.Conn
	peer wire.Hello
	out  chan []byte
	end  context.CancelFunc
}

// send queues a frame. A link whose queue is full is ended: the peer is too slow, and gets whole states anew when it is
// linked again.
func (l *link) send(frame []byte) {
	select {
	case l.out <- frame:
	default:
		l.end()
	}
}

// ServeHTTP accepts a peer's link.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	h.work.Add(1)
	defer h.work.Done()
	err = h.run(h.ctx, conn)
	h.logger.Debug().Err(err).Msg("link from a peer ended")
}

// Dial keeps a link to an address up until ctx ends.
func (h *Hub) Dial(ctx context.Context, address string) {
	h.work.Add(1)
	go func() {
		defer h.work.Done()
		h.redial(ctx, address)
	}()
}

func (h *Hub) redial(ctx context.Context, address string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(h.ctx, cancel)()
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = redialAtFirst
	wait.MaxInterval = redialAtMost
	for ctx.Err() == nil {
		started := time.Now()
		err := h.dialOnce(ctx, address)
		h.logger.Debug().Err(err).Str("Address", address).Msg("link to a peer ended")
		if time.Since(started) > redialAtMost {
			wait.Reset()
		}
		pause(ctx, wait.NextBackOff())
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (h *Hub) dialOnce(ctx context.Context, address string) error {
	dialCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	header := http.Header{}
	h.secret.Set(header)
	conn, _, err := websocket.Dial(dialCtx, "ws://"+address+"/control", &websocket.DialOptions{HTTPHeader: header})
	if err != nil {
		return fmt.Errorf("dial %s: %w", address, err)
	}
	return h.run(ctx, conn)
}

// run exchanges hellos and then messages until the link ends.
func (h *Hub) run(ctx context.Context, conn *websocket.Conn) error {
	defer conn.CloseNow()
	conn.SetReadLimit(maxFrame)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peer, err := h.greet(ctx, conn)
	if err != nil {
		return err
	}
	l := &link{conn: conn, peer: peer, out: make(chan []byte, linkQueue), end: cancel}
	h.add(l)
	defer h.remove(l)
	h.work.Add(2)
	go func() {
		defer h.work.Done()
		defer cancel()
		l.write(ctx)
	}()
	go func() {
		defer h.work.Done()
		defer cancel()
		l.beat(ctx)
	}()
	return h.read(ctx, l)
}

func (h *Hub) greet(ctx context.Context, conn *websocket.Conn) (wire.Hello, error) {
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

func (h *Hub) read(ctx context.Context, l *link) error {
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

func (l *link) write(ctx context.Context) {
	for {
		select {
		case frame := <-l.out:
			if l.writeOne(ctx, frame) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (l *link) writeOne(ctx context.Context, frame []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return l.conn.Write(ctx, websocket.MessageBinary, frame)
}

// beat pings the peer so that a link that has gone silent ends.
func (l *link) beat(ctx context.Context) {
	for {
		pause(ctx, heartbeatEvery/2+rand.N(heartbeatEvery))
		pingCtx, cancel := context.WithTimeout(ctx, heartbeatWithin)
		err := l.conn.Ping(pingCtx)
		cancel()
		if err != nil {
			return
		}
	}
}
