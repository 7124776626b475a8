package caller

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"cowslipshunt.example/shared/link"
)

// Limits of the connections to endpoints.
const (
	dialTimeout        = 2 * time.Second
	idleTimeout        = 30 * time.Second
	maxIdlePerEndpoint = 64
	// MaxResponseHeaderBytes bounds the head of a response.
	MaxResponseHeaderBytes = 64 << 10
)

// NewTransport returns a transport for requests that may be repeated. It reuses connections and ignores proxy settings.
// headerTimeout limits the wait for the head of an answer.
func NewTransport(headerTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            link.ReportingDial(dialer.DialContext),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerEndpoint,
		IdleConnTimeout:        idleTimeout,
		ResponseHeaderTimeout:  headerTimeout,
		MaxResponseHeaderBytes: MaxResponseHeaderBytes,
	}
}

// NewSingleUseTransport returns a transport for requests that must not be repeated. It opens a new connection for each request, so
// that no request fails because the endpoint has just closed an idle connection.
func NewSingleUseTransport(headerTimeout time.Duration) *http.Transport {
	t := NewTransport(headerTimeout)
	t.DisableKeepAlives = true
	return t
}

// nonReplayableBody is a request body that net/http can't send twice: net/http does not recognise it as empty and can't obtain a
// second copy.
type nonReplayableBody struct {
	io.Reader
}

// Close does nothing; the body is in memory.
func (nonReplayableBody) Close() error {
	return nil
}

// SetNonReplayableBody sets a request's body such that the transport of net/http never retries the request, whatever its method
// and headers are.
func SetNonReplayableBody(r *http.Request, body []byte) {
	r.Body = nonReplayableBody{Reader: bytes.NewReader(body)}
	r.ContentLength = int64(len(body))
	r.GetBody = nil
}

// NeverSent reports whether an error of a round trip shows that no byte of the request was sent, as there was no connection.
func NeverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
