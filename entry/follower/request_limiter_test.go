package follower

import (
	"testing"
	"time"

	"cowslipshunt.example/wire"
)

func TestDocumentIsRequestedOnceUntilRetryDelay(t *testing.T) {
	start := time.Unix(1, 0)
	steps := []struct {
		version wire.DocumentVersion
		after   time.Duration
		want    bool
	}{
		{7, 0, true},
		{7, requestRetryDelay - 1, false},
		{6, requestRetryDelay - 1, false},
		{8, requestRetryDelay - 1, true},
		{7, requestRetryDelay, false},
		{8, 2*requestRetryDelay - 1, true},
		{6, 3*requestRetryDelay - 1, true},
	}
	var limiter requestLimiter
	for i, s := range steps {
		if got := limiter.allow(s.version, start.Add(s.after)); got != s.want {
			t.Errorf("step %d: request of version %d after %s: allowed is %t, want %t", i, s.version, s.after, got, s.want)
		}
	}
}
