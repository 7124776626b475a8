// Package platform is a client of the platform's services, which are HTTP with JSON.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"cowslipshunt.example/wire"
)

// maxAnswerBytes is the maximum size of an answer's body.
const maxAnswerBytes = 64 << 20

// maxResponseHeaderBytes is the maximum size of an answer's head.
const maxResponseHeaderBytes = 64 << 10

// maxErrorTextBytes is the maximum size of the answer text that an Error contains.
const maxErrorTextBytes = 512

// Client calls the platform's services. It never repeats a call. After an error other than *Error, the call may or may not have
// taken effect.
type Client struct {
	base      string
	http      *http.Client
	transport *http.Transport
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of each call.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) {
		c.http.Timeout = d
	}
}

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) {
		c.transport.DialContext = dial
	}
}

// DefaultTimeout is the timeout of each call of a client without WithTimeout.
const DefaultTimeout = 5 * time.Second

// NewClient returns a client for the platform at an address such as 127.0.0.1:7000.
func NewClient(address string, opts ...Option) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxResponseHeaderBytes}
	c := &Client{
		base:      "http://" + address,
		http:      &http.Client{Transport: transport, Timeout: DefaultTimeout},
		transport: transport,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Error is an answer with a status other than 200. It means that the platform rejected the call, which had no effect.
type Error struct {
	Call   string
	Status int
	Text   string
}

// Error names the call, the status and the platform's text.
func (e *Error) Error() string {
	return fmt.Sprintf("platform %s: status %d: %s", e.Call, e.Status, e.Text)
}

// Read returns the rows with the given keys; keys without a row are left out.
func (c *Client) Read(ctx context.Context, table string, keys ...string) ([]wire.Row, error) {
	var answer wire.RowsAnswer
	err := c.post(ctx, "/table/read", wire.ReadRequest{Table: table, Keys: keys}, &answer)
	return answer.Rows, err
}

// Scan returns up to limit rows, in key order, whose keys start with prefix and are greater than after.
func (c *Client) Scan(ctx context.Context, table, prefix, after string, limit int) ([]wire.Row, error) {
	var answer wire.RowsAnswer
	err := c.post(ctx, "/table/scan", wire.ScanRequest{Table: table, Prefix: prefix, After: after, Limit: limit}, &answer)
	return answer.Rows, err
}

// Transact atomically applies all writes if all checks hold; otherwise it applies none and the answer lists the conflicting rows.
func (c *Client) Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error) {
	var answer wire.TransactAnswer
	err := c.post(ctx, "/table/transact", r, &answer)
	return answer, err
}

// PutObject stores an object under its digest.
func (c *Client) PutObject(ctx context.Context, name wire.Digest, data []byte) error {
	return c.do(ctx, http.MethodPut, "/objects/"+url.PathEscape(string(name)), data, nil)
}

// GetObject returns an object.
func (c *Client) GetObject(ctx context.Context, name wire.Digest) ([]byte, error) {
	var raw []byte
	err := c.do(ctx, http.MethodGet, "/objects/"+url.PathEscape(string(name)), nil, &raw)
	return raw, err
}

// Endpoints lists the endpoints of a failure domain, or of all domains if domain is empty.
func (c *Client) Endpoints(ctx context.Context, domain wire.DomainName) ([]wire.EndpointRecord, error) {
	var answer wire.EndpointList
	err := c.do(ctx, http.MethodGet, "/endpoints?domain="+url.QueryEscape(string(domain)), nil, &answer)
	return answer.Endpoints, err
}

// OrderEndpoints orders a number of endpoints of a kind in a failure domain.
func (c *Client) OrderEndpoints(ctx context.Context, order wire.EndpointOrder) (wire.EndpointOrderAnswer, error) {
	var answer wire.EndpointOrderAnswer
	err := c.post(ctx, "/endpoints/orders", order, &answer)
	return answer, err
}

// ReportUsage reports the usage figures of a window.
func (c *Client) ReportUsage(ctx context.Context, report wire.UsageReport) error {
	return c.post(ctx, "/usage/reports", report, nil)
}

// Instances returns the platform's list of instances, which lags behind their actual state.
func (c *Client) Instances(ctx context.Context) ([]wire.InstanceRecord, error) {
	var answer wire.InstanceList
	err := c.do(ctx, http.MethodGet, "/instances", nil, &answer)
	return answer.Instances, err
}

func (c *Client) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	return c.do(ctx, http.MethodPost, path, body, out)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("platform %s: %w", path, err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(answer.Body, maxErrorTextBytes))
		return &Error{Call: path, Status: answer.StatusCode, Text: string(bytes.TrimSpace(text))}
	}
	return decode(path, answer.Body, out)
}

func decode(path string, body io.Reader, out any) error {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("platform %s: read answer: %w", path, err)
	}
	switch out := out.(type) {
	case nil:
		return nil
	case *[]byte:
		*out = data
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("platform %s: decode answer: %w", path, err)
	}
	return nil
}
