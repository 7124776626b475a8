package console

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
)

// Document returns an accepted document; version zero means the one in force. It returns an error if the text does not match the
// digest in the answer.
func (c *Client) Document(ctx context.Context, version wire.DocumentVersion) (wire.DocumentAnswer, error) {
	path := "/v1/document"
	if version != 0 {
		path += "?version=" + strconv.Itoa(int(version))
	}
	var answer wire.DocumentAnswer
	if err := c.call(ctx, http.MethodGet, path, nil, &answer); err != nil {
		return answer, err
	}
	if answer.Version != 0 && document.Digest([]byte(answer.Text)) != answer.Digest {
		return answer, fmt.Errorf("the text of document version %d does not match its digest", answer.Version)
	}
	return answer, nil
}

// History returns the audit entries of document submissions: who submitted which version, when and why.
func (c *Client) History(ctx context.Context) (wire.AuditList, error) {
	var answer wire.AuditList
	err := c.call(ctx, http.MethodGet, "/v1/document/history", nil, &answer)
	return answer, err
}

// Status returns the state of the system as observed by the entry.
func (c *Client) Status(ctx context.Context) (wire.StatusAnswer, error) {
	var answer wire.StatusAnswer
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &answer)
	return answer, err
}

// Audit returns the audit entries after a time, or from the first one for the zero time. limit is the maximum number of entries;
// zero means the entry's default.
func (c *Client) Audit(ctx context.Context, after time.Time, limit int) (wire.AuditList, error) {
	query := url.Values{}
	if !after.IsZero() {
		query.Set("after", after.UTC().Format(time.RFC3339Nano))
	}
	if limit > 0 {
		query.Set("limit", strconv.Itoa(limit))
	}
	path := "/v1/audit"
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	var answer wire.AuditList
	err := c.call(ctx, http.MethodGet, path, nil, &answer)
	return answer, err
}

// Orders returns the orders to engines and the orders for endpoints.
func (c *Client) Orders(ctx context.Context) (wire.OrderList, error) {
	var answer wire.OrderList
	err := c.call(ctx, http.MethodGet, "/v1/orders", nil, &answer)
	return answer, err
}

// Usage returns the frozen usage windows.
func (c *Client) Usage(ctx context.Context) (wire.WindowList, error) {
	var answer wire.WindowList
	err := c.call(ctx, http.MethodGet, "/v1/usage", nil, &answer)
	return answer, err
}
