package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"cowslipshunt.example/shared/platform"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fixture is an API on a fake clock behind a listener.
type fixture struct {
	*platform.Client
	t     testing.TB
	clock *clockwork.FakeClock
	url   string
}

func newFixture(t testing.TB) *fixture {
	cfg := NewSettings()
	for _, id := range []wire.EndpointId{"e1", "e2", "e3"} {
		cfg.Endpoint = append(cfg.Endpoint, EndpointSetting{Endpoint: id, Domain: "d", Kind: "k", Ordered: id == "e1"})
	}
	clock := clockwork.NewFakeClock()
	server := httptest.NewServer(NewAPI(cfg, clock))
	t.Cleanup(server.Close)
	client := platform.NewClient(server.Listener.Addr().String())
	return &fixture{Client: client, t: t, clock: clock, url: server.URL}
}

// control posts to a test control and returns the status.
func (f *fixture) control(path string, body any) int {
	f.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	answer, err := http.Post(f.url+path, "application/json", bytes.NewReader(data))
	if err != nil {
		f.t.Fatal(err)
	}
	answer.Body.Close()
	return answer.StatusCode
}

func fetch[Out any](f *fixture, path string) (out Out) {
	f.t.Helper()
	answer, err := http.Get(f.url + path)
	if err != nil {
		f.t.Fatal(err)
	}
	defer answer.Body.Close()
	if err := json.NewDecoder(answer.Body).Decode(&out); err != nil {
		f.t.Fatal(err)
	}
	return out
}

// listed writes the listed endpoints in short, a leaving one with a minus.
func (f *fixture) listed() string {
	f.t.Helper()
	list, err := f.Endpoints(f.t.Context(), "d")
	if err != nil {
		f.t.Fatal(err)
	}
	text := ""
	for _, e := range list {
		text += string(e.Endpoint) + " "
		if e.Leaving {
			text += "- "
		}
	}
	return text
}

// order orders a number of endpoints and returns the answer.
func (f *fixture) order(id wire.OrderId, count int) wire.EndpointOrderAnswer {
	f.t.Helper()
	answer, err := f.OrderEndpoints(f.t.Context(), wire.EndpointOrder{Order: id, Domain: "d", Kind: "k", Count: count})
	if err != nil {
		f.t.Fatal(err)
	}
	return answer
}
