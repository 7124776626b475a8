package follower_test

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"cowslipshunt.example/entry/follower"
	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
)

// benchStore is a store without documents.
type benchStore struct{}

// Read returns no rows.
func (benchStore) Read(context.Context, string, ...string) ([]wire.Row, error) { return nil, nil }

// GetObject returns io.EOF.
func (benchStore) GetObject(context.Context, wire.Digest) ([]byte, error) { return nil, io.EOF }

func benchLogger() *log.Logger {
	return process.NewLogger(io.Discard, "error", "bench", "follower")
}

// benchDocument returns a document with 240 workspaces and 19 models, the size that the system is designed for.
func benchDocument(b *testing.B) []byte {
	b.Helper()
	d := &document.Document{}
	for i := range 19 {
		d.Model = append(d.Model, document.Model{Name: wire.ModelName(fmt.Sprintf("model-%02d", i)), Version: "v1", PromptPrice: 400})
	}
	for i := range 240 {
		w := document.Workspace{Name: wire.WorkspaceName(fmt.Sprintf("workspace-%03d", i)), Weight: 1}
		for _, m := range d.Model {
			w.Models = append(w.Models, m.Name)
		}
		w.Key = []document.Key{{Label: "application", Digest: document.KeyDigest(string(w.Name))}}
		d.Workspace = append(d.Workspace, w)
	}
	text, err := document.Encode(d)
	if err != nil {
		b.Fatal(err)
	}
	return text
}

// benchFollower runs a follower behind an HTTP server. It returns the server and a channel of the versions put in force.
func benchFollower(b *testing.B, ctx context.Context) (*httptest.Server, <-chan wire.DocumentVersion) {
	b.Helper()
	self := wire.Hello{Instance: "follower", Program: wire.ProgramEntry, Domain: "domain-1"}
	hub := channel.NewHub(self, benchLogger())
	current := document.NewCurrent()
	inForce := make(chan wire.DocumentVersion, 1)
	current.OnChange(func(a *document.Accepted) { inForce <- a.Version })
	f := follower.New(ctx, self, current, benchStore{}, hub, clockwork.NewRealClock(), benchLogger())
	router, err := channel.NewRouter(benchLogger())
	if err != nil {
		b.Fatal(err)
	}
	f.AddHandlers(router)
	go func() { _ = router.Run(ctx) }()
	<-router.Running()
	f.Start()
	server := httptest.NewServer(hub)
	b.Cleanup(func() {
		_ = hub.Close()
		server.Close()
	})
	return server, inForce
}

// benchPeers links n peers that answer each request for a document, and counts the requests.
func benchPeers(b *testing.B, ctx context.Context, n int, address string, text []byte, requests *atomic.Int64) []*channel.Hub {
	b.Helper()
	var peers []*channel.Hub
	digest := document.Digest(text)
	for i := range n {
		hub := channel.NewHub(wire.Hello{Instance: wire.InstanceName(fmt.Sprintf("peer-%02d", i)), Program: wire.ProgramEntry}, benchLogger())
		b.Cleanup(func() { _ = hub.Close() })
		router, err := channel.NewRouter(benchLogger())
		if err != nil {
			b.Fatal(err)
		}
		channel.Handle(router, hub, follower.TopicRequest, func(_ context.Context, from wire.InstanceName, r wire.DocumentRequest) error {
			requests.Add(1)
			return channel.Send(hub, from, follower.TopicBody, wire.DocumentBody{Version: r.Version, Digest: digest, Text: text})
		})
		go func() { _ = router.Run(ctx) }()
		<-router.Running()
		up, err := hub.Subscribe(ctx, channel.TopicLinkUp)
		if err != nil {
			b.Fatal(err)
		}
		hub.Dial(ctx, address)
		(<-up).Ack()
		peers = append(peers, hub)
	}
	return peers
}

// BenchmarkFollowPeers measures the time from the moment when all peers announce the same new document to its being in force.
// It reports how many times the follower requested the text.
func BenchmarkFollowPeers(b *testing.B) {
	text := benchDocument(b)
	for _, n := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			b.Cleanup(cancel)
			server, inForce := benchFollower(b, ctx)
			var requests atomic.Int64
			peers := benchPeers(b, ctx, n, strings.TrimPrefix(server.URL, "http://"), text, &requests)
			version := wire.DocumentVersion(0)
			for b.Loop() {
				version++
				notice := wire.DocumentNotice{Version: version, Digest: document.Digest(text)}
				for _, p := range peers {
					if err := channel.Send(p, "", follower.TopicNotice, notice); err != nil {
						b.Fatal(err)
					}
				}
				for <-inForce < version {
				}
			}
			b.ReportMetric(float64(requests.Load())/float64(b.N), "documents-asked")
			b.ReportMetric(float64(len(text)), "document-B")
		})
	}
}
