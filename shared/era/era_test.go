package era_test

import (
	"testing"

	"cowslipshunt.example/shared/era"
	"pgregory.net/rapid"
)

// TestJoinedVersionsAreOrderedByEraFirst guards against a version of a restored store that counts as older than one that the store has lost.
func TestJoinedVersionsAreOrderedByEraFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		eras, versions := rapid.IntRange(0, int(era.Max)), rapid.IntRange(1, era.MaxVersion)
		a, b := era.Era(eras.Draw(t, "era")), era.Era(eras.Draw(t, "other era"))
		v, w := versions.Draw(t, "version"), versions.Draw(t, "other version")
		joined := era.Join(a, v)
		if era.Of(joined) != a || era.Number(joined) != v || era.Join(0, v) != v {
			t.Fatalf("%d/%d is joined to %d", a, v, joined)
		}
		if less := a < b || a == b && v < w; less != (joined < era.Join(b, w)) {
			t.Fatalf("%d/%d and %d/%d are ordered wrongly", a, v, b, w)
		}
		if a < b && era.FirstEpoch(a)+1<<32 > era.FirstEpoch(b) {
			t.Fatalf("epochs of eras %d and %d overlap", a, b)
		}
	})
}
