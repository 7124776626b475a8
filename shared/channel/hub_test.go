package channel_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/wire"
	"go.uber.org/goleak"
)

const testTimeout = 10 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func newHub(name wire.InstanceName) *channel.Hub {
	hello := wire.Hello{Instance: name, Program: wire.ProgramEntry}
	return channel.NewHub(hello, process.NewLogger(io.Discard, "error", "test", string(name)))
}

// receiveNotices returns a channel with the DocumentNotice messages that a hub receives.
func receiveNotices(t *testing.T, ctx context.Context, h *channel.Hub) <-chan wire.DocumentNotice {
	t.Helper()
	router, err := channel.NewRouter(process.NewLogger(io.Discard, "error", "test", "router"))
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan wire.DocumentNotice, 16)
	channel.Handle(router, h, "DocumentNotice", func(_ context.Context, _ wire.InstanceName, n wire.DocumentNotice) error {
		got <- n
		return nil
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = router.Run(ctx)
	}()
	t.Cleanup(func() { <-done })
	<-router.Running()
	return got
}

func TestMessagesArriveInOrderAfterReconnect(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	a, b := newHub("a"), newHub("b")
	hijacked := make(chan net.Conn, 4)
	server := httptest.NewUnstartedServer(a)
	server.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateHijacked {
			hijacked <- c
		}
	}
	server.Start()
	t.Cleanup(func() {
		cancel()
		_ = b.Close()
		_ = a.Close()
		server.Close()
	})
	got := receiveNotices(t, ctx, a)
	up, err := b.Subscribe(ctx, channel.TopicLinkUp)
	if err != nil {
		t.Fatal(err)
	}
	b.Dial(ctx, strings.TrimPrefix(server.URL, "http://"))
	for round := range 2 {
		m := <-up
		m.Ack()
		for i := range 3 {
			notice := wire.DocumentNotice{Version: wire.DocumentVersion(10*round + i)}
			if err := channel.Send(b, "a", "DocumentNotice", notice); err != nil {
				t.Fatal(err)
			}
		}
		for i := range 3 {
			if n := <-got; n.Version != wire.DocumentVersion(10*round+i) {
				t.Fatalf("round %d: got version %d at position %d", round, n.Version, i)
			}
		}
		_ = (<-hijacked).Close()
	}
}

func TestSendWithoutLinkFails(t *testing.T) {
	h := newHub("a")
	defer h.Close()
	if err := channel.Send(h, "nobody", "DocumentNotice", wire.DocumentNotice{}); err != channel.ErrNoLink {
		t.Errorf("got %v, want ErrNoLink", err)
	}
}
