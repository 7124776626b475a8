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

// fixture is an API with a fake clock on a test server, and a client of it.
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

// postControl posts to a test control and returns the status.
func (f *fixture) postControl(path string, body any) int {
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

// listedEndpoints returns the names of the listed endpoints, each followed by a space, and a leaving one also by "- ".
func (f *fixture) listedEndpoints() string {
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

// orderEndpoints orders a number of endpoints and returns the answer.
func (f *fixture) orderEndpoints(id wire.OrderId, count int) wire.EndpointOrderAnswer {
	f.t.Helper()
	answer, err := f.OrderEndpoints(f.t.Context(), wire.EndpointOrder{Order: id, Domain: "d", Kind: "k", Count: count})
	if err != nil {
		f.t.Fatal(err)
	}
	return answer
}
