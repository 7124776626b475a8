package main

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

func startService(t *testing.T) *httptest.Server {
	t.Helper()
	srv := httptest.NewUnstartedServer(newService().router())
	srv.Config.ConnContext = countRequests
	srv.Start()
	t.Cleanup(srv.Close)
	return srv
}

// call sends a request, decodes the body of a 200 answer into into, and returns the status, or 0 if the connection was closed.
// The body is not replayable, so the HTTP client does not retry a POST on its own.
func call(t rapid.TB, srv *httptest.Server, method, path, body string, into any) (int, http.Header) {
	t.Helper()
	r, err := http.NewRequest(method, srv.URL+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		t.Fatal(err)
	}
	answer, err := srv.Client().Do(r)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close()
	// The connection is reused only if the body is read to its end.
	data, err := io.ReadAll(answer.Body)
	if answer.StatusCode == http.StatusOK && into != nil {
		err = errors.Join(err, json.Unmarshal(data, into))
	}
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	return answer.StatusCode, answer.Header
}

// TestRunsAreCountedPerBookingUnderFaults sends bookings under random faults. A refused booking must not count as a run; one
// whose connection is closed after it ran must.
func TestRunsAreCountedPerBookingUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		srv := startService(t)
		defer srv.Close()
		runs, ran := map[string]int{}, 0
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "booking")
			fault := rapid.SampledFrom([]string{`{}`, `{"Refuse":true,"Once":true}`, `{"CloseAfterRun":true,"Once":true}`}).Draw(rt, "fault")
			call(rt, srv, http.MethodPost, "/fault", fault, nil)
			var got wire.BookingAnswer
			status, header := call(rt, srv, http.MethodPost, "/bookings", `{"Booking":"`+name+`"}`, &got)
			refused := strings.Contains(fault, "Refuse")
			if refused != (header.Get("Outcome") == "NotRun") || refused != (status == http.StatusServiceUnavailable) {
				rt.Fatalf("fault %s: status %d, header %v", fault, status, header)
			}
			if !refused {
				runs[name]++
				ran++
			}
			if status == http.StatusOK && got.Runs != runs[name] {
				rt.Fatalf("answer %+v, want %d runs", got, runs[name])
			}
		}
		for name, want := range runs {
			var got wire.BookingAnswer
			call(rt, srv, http.MethodGet, "/bookings/"+name, "", &got)
			if got.Runs != want {
				rt.Errorf("booking %s: %d runs, want %d", name, got.Runs, want)
			}
		}
		var received wire.ServiceReceivedList
		call(rt, srv, http.MethodGet, "/received", "", &received)
		if got := len(received.Requests) - len(runs); got != ran {
			rt.Errorf("received %d runs, want %d", got, ran)
		}
	})
}

// TestCloseReusedSkipsFirstRequestOnConnection checks that the CloseReused fault closes a connection only after a request that
// is not its first.
func TestCloseReusedSkipsFirstRequestOnConnection(t *testing.T) {
	srv := startService(t)
	call(t, srv, http.MethodPost, "/fault", `{"CloseReused":true,"Once":true}`, nil)
	srv.Client().Transport.(*http.Transport).CloseIdleConnections()
	for i, want := range []int{http.StatusOK, 0, http.StatusOK, http.StatusOK} {
		if got, _ := call(t, srv, http.MethodPost, "/bookings", `{"Booking":"a"}`, nil); got != want {
			t.Errorf("call %d: status %d, want %d", i, got, want)
		}
	}
	var count wire.BookingAnswer
	call(t, srv, http.MethodGet, "/bookings/a", "", &count)
	if count.Runs != 4 {
		t.Errorf("%d runs, want 4: the request whose connection was closed has run too", count.Runs)
	}
}

func TestOtherRequestsAreEchoedAndRecorded(t *testing.T) {
	srv := startService(t)
	for _, method := range []string{http.MethodGet, http.MethodDelete, "BREW"} {
		var got wire.ServiceEcho
		call(t, srv, method, "/any/path", "four", &got)
		if want := (wire.ServiceEcho{Method: method, Path: "/any/path", BodyBytes: 4}); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	for _, bad := range []string{``, `{}`, `[]`} {
		if status, _ := call(t, srv, http.MethodPost, "/bookings", bad, nil); status != http.StatusBadRequest {
			t.Errorf("body %q: status %d", bad, status)
		}
	}
	var received wire.ServiceReceivedList
	call(t, srv, http.MethodGet, "/received", "", &received)
	if len(received.Requests) != 3 || string(received.Requests[2].Body) != "four" {
		t.Errorf("received %+v", received.Requests)
	}
}
