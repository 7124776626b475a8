package link_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"

	"cowslipshunt.example/shared/link"
	"github.com/jonboulle/clockwork"
)

// TestStatusOutsideTheRangeIsNoResponse guards against answers that callers cannot understand: only 200 to 599 end an exchange.
func TestStatusOutsideTheRangeIsNoResponse(t *testing.T) {
	for code, valid := range map[string]bool{"000": false, "099": false, "101": false, "200": true, "599": true, "600": false, "999": false} {
		conn := &scriptedConn{data: fmt.Appendf(nil, "HTTP/1.1 %s x\r\nContent-Length: 0\r\n\r\n", code)}
		pool := link.NewPool[string](clockwork.NewRealClock(), func(context.Context, string, string) (net.Conn, error) { return conn, nil })
		c, err := pool.Get(t.Context(), "a", "")
		if err != nil {
			t.Fatal(err)
		}
		_, err = c.ReadResponse(http.MethodGet)
		var unexpected *link.UnexpectedStatusError
		if valid && err != nil || !valid && !errors.As(err, &unexpected) {
			t.Errorf("status %s gave the error %v", code, err)
		}
	}
}
