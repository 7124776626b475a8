package connections_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// shortHeaderTimeout is the limit for the head of a request in these tests; requests are served for several times as long.
const shortHeaderTimeout = 300 * time.Millisecond

// TestOpenRequestHasNoReadDeadline guards against callers that are taken for gone while they wait: a deadline of the connection's reading side,
// that of a head or one that ends idle connections, passes while a request is served or its body is read.
func TestOpenRequestHasNoReadDeadline(t *testing.T) {
	for name, parts := range map[string][]string{
		"in one piece":                 {"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbook"},
		"with its head in parts":       {"P", "OST /1 HTTP/1.1\r\nHo", "st: h\r\nContent-Length: 4\r\n\r\n", "book"},
		"with a late body":             {"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n", "b", "", "", "ook"},
		"with a late chunk":            {"POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo", "", "", "ok\r\n0\r\n", "\r\n"},
		"with a part of the next one":  {"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbook", "G", "ET /next HTTP/1.1\r\n"},
		"together with the next one":   {"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbookGET /next HTTP/1.1\r\nHost: h\r\n\r\n"},
		"after a byte that comes late": {"P", "", "OST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbook"},
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept %v", name, kept), func(t *testing.T) {
				t.Parallel()
				f := newFixtureWith(t, shortHeaderTimeout)
				if kept {
					f.exchange("/0")
				}
				f.onRequest(func(r *http.Request) { f.serveLong(r, kept) })
				for _, p := range parts {
					// All parts of a head arrive within its limit.
					<-time.After(shortHeaderTimeout / 10)
					if _, err := io.WriteString(f.client, p); err != nil {
						t.Fatal(err)
					}
				}
				resp, err := http.ReadResponse(f.in, nil)
				if err != nil {
					t.Fatal(err)
				}
				if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "/1" {
					t.Errorf("got %q, %v", body, err)
				}
			})
		}
	}
}

// exchange sends a request and reads its answer.
func (f *fixture) exchange(path string) {
	f.t.Helper()
	if _, err := io.WriteString(f.client, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.ReadResponse(f.in, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		f.t.Fatal(err)
	}
}

// serveLong reads a request and serves it for several times the limit for a head, while all connections that count as idle are closed.
func (f *fixture) serveLong(r *http.Request, expires bool) {
	if strings.HasPrefix(r.URL.Path, "/next") {
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		f.t.Errorf("the body cannot be read: %v", err)
	}
	end := time.After(3 * shortHeaderTimeout)
	for {
		if expires {
			f.expireAll()
		}
		select {
		case <-r.Context().Done():
			f.t.Errorf("the caller is taken for gone: %v", context.Cause(r.Context()))
			return
		case <-end:
			return
		case <-time.After(pollInterval):
		}
	}
}
