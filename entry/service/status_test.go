package service_test

import (
	"net/http"
	"testing"

	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/problem"
)

// TestStatusAboveTheRangeIsNoAnswer guards against answers that callers cannot understand, and against a second run of what may run once: a
// status above 599 says nothing of whether the endpoint ran the request.
func TestStatusAboveTheRangeIsNoAnswer(t *testing.T) {
	for _, status := range []int{599, 600, 999} {
		s := newSystem(t, 2, stall, func(string) {}, func(_ int64, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(caller.HeaderOutcome, string(problem.NotRun))
			w.WriteHeader(status)
		})
		want := http.StatusBadGateway
		if status == 599 {
			want = status
		}
		if got, _ := s.call(t, "/once"); got != want {
			t.Errorf("status %d of an endpoint gave %d, want %d", status, got, want)
		}
		if calls := s.calls.Load(); calls != 1 {
			t.Errorf("a request that was answered with status %d was sent %d times", status, calls)
		}
	}
}
