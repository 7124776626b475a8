package heads_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"cowslipshunt.example/shared/heads"
)

// BenchmarkRequest measures an ordinary request on a kept connection, with and without a budget.
func BenchmarkRequest(b *testing.B) {
	for _, guarded := range []bool{false, true} {
		b.Run(fmt.Sprintf("guarded=%v", guarded), func(b *testing.B) {
			srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "ok")
			})}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			if guarded {
				budget := heads.New(1<<30, 100, nil, nil)
				l = budget.Guard(srv, 100, func() heads.Limits { return heads.Limits{MaxBytes: 16 << 10, Timeout: waitTimeout} })(l)
			}
			go func() { _ = srv.Serve(l) }()
			defer func() { _ = srv.Close() }()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			in := bufio.NewReader(c)
			request := []byte("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n" + strings.Repeat("Some-Field: some value of it\r\n", 10) + "\r\nbook")
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write(request); err != nil {
					b.Fatal(err)
				}
				if got := status(in); got != http.StatusOK {
					b.Fatalf("got %d", got)
				}
			}
		})
	}
}
