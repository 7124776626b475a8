package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cowslipshunt.example/serving/intake"
	"cowslipshunt.example/serving/relay"
	"github.com/jonboulle/clockwork"
)

const (
	benchBudget = 32 << 20
	benchBody   = 1 << 20
	// benchWork is how long the relay has each request.
	benchWork = 100 * time.Millisecond
	// sampleInterval is the interval at which the heap is looked at.
	sampleInterval = 5 * time.Millisecond
)

// workingRelay answers each request after benchWork.
type workingRelay struct {
	limitedRelay
}

func (r *workingRelay) Serve(ctx context.Context, req *relay.Request, c relay.Caller) {
	select {
	case <-time.After(benchWork):
		r.limitedRelay.Serve(ctx, req, c)
	case <-ctx.Done():
	}
}

// uploadOnce sends one request, all of it before it reads, and returns the status of its whole answer.
func uploadOnce(address string, body []byte) (int, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	if _, err := (&net.Buffers{[]byte(head(len(body))), body}).WriteTo(c); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// BenchmarkOfferedBodies measures the memory of an instance as more bodies come at once than it may hold: the most that bodies hold, the
// most that the heap has in use (with the body that all callers here share), and how many requests are served.
func BenchmarkOfferedBodies(b *testing.B) {
	for _, times := range []int{1, 2, 4, 8, 16} {
		b.Run(fmt.Sprintf("budgets=%d", times), func(b *testing.B) {
			for b.Loop() {
				measureOffered(b, times*benchBudget/benchBody)
			}
		})
	}
}

// measureOffered offers n bodies at once.
func measureOffered(b *testing.B, n int) {
	budget := intake.New(clockwork.NewRealClock(), benchBudget)
	server := newCallerServer(b.Context(), newCallerHandler(&workingRelay{limitedRelay{maxBody: benchBody}}, budget, newLogger(io.Discard, "info", "a")))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	runtime.GC()
	body := make([]byte, benchBody)
	var callers sync.WaitGroup
	var served, refused atomic.Int64
	for range n {
		callers.Go(func() {
			switch status, err := uploadOnce(l.Addr().String(), body); {
			case err != nil:
				b.Error(err)
			case status == http.StatusOK:
				served.Add(1)
			default:
				refused.Add(1)
			}
		})
	}
	done := make(chan struct{})
	go func() {
		callers.Wait()
		close(done)
	}()
	held, heap := peakUntil(done, budget)
	b.ReportMetric(float64(held)/(1<<20), "held-MB")
	b.ReportMetric(float64(heap)/(1<<20), "heap-MB")
	b.ReportMetric(float64(served.Load()), "served")
	b.ReportMetric(float64(refused.Load()), "refused")
}

// peakUntil returns the most that a budget and the heap hold until done is closed.
func peakUntil(done <-chan struct{}, budget *intake.Budget) (held int64, heap uint64) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		held, heap = max(held, budget.Held()), max(heap, m.HeapInuse)
		select {
		case <-done:
			return held, heap
		case <-ticker.C:
		}
	}
}
