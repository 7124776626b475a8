package follower

import (
	"testing"
	"time"

	"cowslipshunt.example/wire"
)

func TestADocumentIsAskedForOnceUntilItIsLate(t *testing.T) {
	start := time.Unix(1, 0)
	steps := []struct {
		version wire.DocumentVersion
		after   time.Duration
		want    bool
	}{
		{7, 0, true},
		{7, askAgain - 1, false},
		{6, askAgain - 1, false},
		{8, askAgain - 1, true},
		{7, askAgain, false},
		{8, 2*askAgain - 1, true},
		{6, 3*askAgain - 1, true},
	}
	var a asked
	for i, s := range steps {
		if got := a.first(s.version, start.Add(s.after)); got != s.want {
			t.Errorf("step %d: asking for version %d after %s is %t", i, s.version, s.after, got)
		}
	}
}
