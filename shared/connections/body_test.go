package connections_test

import (
	"io"
	"net/http"
	"testing"
)

// TestBodyInPartsOnExpiringConnectionIsReadWhole guards against requests that end without an answer: idle timeouts pass at each moment while
// their caller sends a long body slowly, with a length or in chunks.
func TestBodyInPartsOnExpiringConnectionIsReadWhole(t *testing.T) {
	f := newFixture(t)
	f.onRead(f.expireAll)
	f.onRequest(func(r *http.Request) {
		f.expireAll()
		body, err := io.ReadAll(r.Body)
		if err != nil || r.Method == http.MethodPost && string(body) != "abcdef" {
			t.Errorf("the body is read as %q, %v", body, err)
		}
		f.expireAll()
		if err := r.Context().Err(); err != nil {
			t.Errorf("the request was cancelled: %v", err)
		}
	})
	const head = "POST /a HTTP/1.1\r\nHost: h\r\n"
	for range 3 {
		f.request(wholeRequest)
		f.request(head+"Content-Length: 6\r\n\r\n", "ab", "c", "def")
		f.request(head+"Transfer-Encoding: chunked\r\n\r\n", "2\r\nab\r\n", "1\r\nc", "\r\n3\r\ndef\r\n", "0\r\n", "\r\n")
	}
}
