package caller

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// Bounds of the connections to endpoints.
const (
	dialTimeout      = 2 * time.Second
	idleTimeout      = 30 * time.Second
	idlePerEndpoint  = 64
	maxAnswerHeaders = 64 << 10
)

// NewTransport returns a transport for requests that may be repeated. It keeps connections and asks nothing of proxies.
func NewTransport(answerWithin time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerEndpoint,
		IdleConnTimeout:        idleTimeout,
		ResponseHeaderTimeout:  answerWithin,
		MaxResponseHeaderBytes: maxAnswerHeaders,
	}
}

// NewOnceTransport returns a transport that sends each request on a connection of its own, so that no request dies with
// a connection which an endpoint had already given up.
func NewOnceTransport(answerWithin time.Duration) *http.Transport {
	t := NewTransport(answerWithin)
	t.DisableKeepAlives = true
	return t
}

// onceBody is a body that net/http cannot send twice: it is neither empty in net/http's eyes nor can it be had anew.
type onceBody struct {
	io.Reader
}

// Close does nothing; the body is in memory.
func (onceBody) Close() error {
	return nil
}

// SetOnceBody gives a request a body that net/http's transport never replays, whatever its method and headers are.
func SetOnceBody(r *http.Request, body []byte) {
	r.Body = onceBody{Reader: bytes.NewReader(body)}
	r.ContentLength = int64(len(body))
	r.GetBody = nil
}

// NeverSent tells whether an error of a round trip shows that no byte of the request left.
func NeverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
