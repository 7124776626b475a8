package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/wire"
)

// explainable serves the explanations of an instance that has three prefill and three decode engines, and returns its address.
func explainable(t *testing.T) (*node, string) {
	t.Helper()
	settings, err := platform.ParseSettings("boot.conf", []byte(platformtest.Settings("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", 5)))
	if err != nil {
		t.Fatal(err)
	}
	n := newNode(settings, "boot.conf", newLogger(io.Discard, "error", settings.Instance))
	for _, id := range []wire.EndpointId{"p1", "p2", "p3", "d1", "d2", "d3"} {
		stage := roster.Prefill
		if id[0] == 'd' {
			stage = roster.Decode
		}
		n.directory.Put(roster.Entry{Key: roster.Key{ID: id, Born: 1}, Service: "s", Domain: "a", Stage: stage, Slots: 4})
	}
	stream := &route.Route{Name: "chat", Host: "h.example", Prefix: "/c/", Kind: route.Stream, Timeout: time.Second, Public: true, Shares: []route.Share{{Service: "s", Weight: 1}}}
	lost := &route.Route{Name: "lost", Host: "h.example", Prefix: "/l/", Timeout: time.Second, Public: true, Shares: []route.Share{{Service: "none", Weight: 1}}}
	n.relay.SetTable(route.NewTable(1, []*route.Route{stream, lost}, []*route.Service{{Name: "s", Engine: &route.Engine{}}}, nil, route.Limits{}))
	srv := httptest.NewServer(http.HandlerFunc(n.serveExplain))
	t.Cleanup(srv.Close)
	return n, strings.TrimPrefix(srv.URL, "http://")
}

// runExplain runs the command with arguments and returns its output.
func runExplain(t *testing.T, args ...string) (string, error) {
	t.Helper()
	root := newRootCommand()
	process.Prepare(root)
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetErr(io.Discard)
	root.SetArgs(append([]string{"explain"}, args...))
	err := root.ExecuteContext(t.Context())
	return out.String(), err
}

func TestExplainWritesTextAndJSON(t *testing.T) {
	n, address := explainable(t)
	n.directory.View().All()["p1"].MarkFailed(time.Now())
	args := []string{"--instance", address, "--host", "h.example", "--path", "/c/x", "--tokens", "9000", "--output", "20", "--parts", "a:8000,b:1000"}
	text, err := runExplain(t, args...)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"run", "chat", "stage Prefill", "stage Decode", "p2", "d3", "nominal", "gets no requests now"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in\n%s", want, text)
		}
	}
	out, err := runExplain(t, append(args, "--json")...)
	if err != nil {
		t.Fatal(err)
	}
	var x explanation
	if err := json.Unmarshal([]byte(out), &x); err != nil {
		t.Fatal(err)
	}
	if x.Outcome != "run" || x.Route != "chat" || x.ChosenPrefill == "" || x.ChosenPrefill == "p1" || x.Chosen == "" || len(x.Choices) != 2 {
		t.Errorf("the explanation is %s", out)
	}
	if c := x.Choices[0]; len(c.Endpoints) != 2 || !reflect.DeepEqual(c.Unavailable, []wire.EndpointId{"p1"}) || c.Endpoints[0].Uncached != 9000 {
		t.Errorf("the choice of a prefill engine is %+v", c)
	}
}

func TestExplainSaysWhyRequestWouldBeRefused(t *testing.T) {
	_, address := explainable(t)
	for path, want := range map[string]string{"/other": "refuse  NoRoute: no route matches", "/l/": "refuse  NotRun: no endpoint is open"} {
		text, err := runExplain(t, "--instance", address, "--host", "h.example", "--path", path)
		// The columns are aligned, so that the number of spaces between them varies.
		if got := strings.Join(strings.Fields(text), " "); err != nil || !strings.HasPrefix(got, strings.Join(strings.Fields(want), " ")) {
			t.Errorf("%s: %v, %s", path, err, text)
		}
	}
}

// TestExplainRejectsBadInput checks that bad input ends with exit code 2 and names the flag, and that an instance rejects it, too.
func TestExplainRejectsBadInput(t *testing.T) {
	_, address := explainable(t)
	good := map[string]string{"instance": address, "host": "h.example", "path": "/c/"}
	for _, c := range []struct{ flag, value string }{
		{"instance", ""}, {"instance", "nowhere"}, {"host", ""}, {"path", ""}, {"path", "c"}, {"tokens", "-1"}, {"tokens", "many"}, {"tokens", "9999999999999999999"},
		{"output", "1.5"}, {"parts", "a"}, {"parts", ":5"}, {"parts", "a:"}, {"parts", "a:-5"}, {"parts", "a:1,,"}, {"timeout", "8"}, {"timeout", "-8s"}, {"unknown", "1"},
	} {
		args := []string{"--" + c.flag, c.value}
		for flag, value := range good {
			if flag != c.flag {
				args = append(args, "--"+flag, value)
			}
		}
		_, err := runExplain(t, args...)
		if err == nil || !strings.Contains(err.Error(), c.flag) || process.ExitCode(err) != process.ExitInput {
			t.Errorf("--%s %q ended with %v", c.flag, c.value, err)
		}
		if c.flag == "instance" {
			continue
		}
		resp, err := http.Get("http://" + address + explainPath + "?host=h&path=/c/&" + c.flag + "=" + strings.ReplaceAll(c.value, " ", "+"))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if repeated := c.flag == "host" || c.flag == "path"; !repeated && resp.StatusCode != http.StatusBadRequest {
			t.Errorf("%s=%s got status %d", c.flag, c.value, resp.StatusCode)
		}
	}
	if _, err := runExplain(t, "--instance", "127.0.0.1:1", "--host", "h", "--path", "/"); err == nil || process.ExitCode(err) != process.ExitFailure {
		t.Errorf("an instance that does not listen: %v", err)
	}
	var input *process.InputError
	if _, err := runExplain(t, "superfluous"); !errors.As(err, &input) {
		t.Errorf("a superfluous argument: %v", err)
	}
}
