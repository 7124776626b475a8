// Package console is a client of an entry's operator API, which is HTTP with JSON and the operator's bearer token.
package console

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// DefaultTimeout is the timeout of each call of a client without WithTimeout. It is long because a submission waits for the
	// failure domains.
	DefaultTimeout = 30 * time.Second
	// maxAnswerBytes is the maximum size of an answer's body.
	maxAnswerBytes = 64 << 20
)

// Client calls one entry. It never repeats a call. It does not follow redirects, so that the token is sent to that entry only.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of each call.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) {
		c.http.Timeout = d
	}
}

// NewClient returns a client for the entry whose operator API is at an address such as 127.0.0.1:7100.
func NewClient(address, token string, opts ...Option) *Client {
	c := &Client{base: "http://" + address, token: token, http: &http.Client{
		Transport:     &http.Transport{},
		Timeout:       DefaultTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// call sends a request and decodes the answer into out. Its error is a ConflictError, FindingsError or ProblemError if the entry
// rejected the call.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	r, err := c.newRequest(ctx, method, path, in)
	if err != nil {
		return err
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("call entry: %w", err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("read answer to %s: %w", path, err)
	}
	if answer.StatusCode != http.StatusOK {
		return decodeError(answer.StatusCode, body)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("decode answer to %s: %w", path, err)
	}
	return nil
}

func (c *Client) newRequest(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, fmt.Errorf("encode request to %s: %w", path, err)
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	r.Header.Set("Accept", "application/json, application/problem+json")
	if in != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, nil
}
