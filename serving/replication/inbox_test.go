package replication_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/replication"
	"pgregory.net/rapid"
)

// TestNothingVouchesForACopyWithAKnownGap guards against an answer of the store, or an update, that is older than a change of which another
// update has told: the receiver would wait for the next update before it reads that change.
func TestNothingVouchesForACopyWithAKnownGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// stored is the version of the store, changed that of its last change; shown is the last change of which an update has told.
		var stored, changed, shown, own replication.Version = 1, 1, 0, 0
		inbox := replication.NewInbox(func() time.Duration { return 0 }, maxSilence)
		// readAt is the version at which the present read of the store was made, 0 if there is none.
		var readAt replication.Version
		var delayed []replication.Update
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				stored += replication.Version(rapid.IntRange(1, 3).Draw(t, "versions"))
				changed = stored
			},
			"change of another table": func(*rapid.T) { stored++ },
			"send": func(*rapid.T) {
				delayed = append(delayed, replication.Update{After: changed, Version: stored, Newest: stored})
			},
			"receive an update, if one is on its way": func(t *rapid.T) {
				if len(delayed) == 0 {
					return
				}
				u := rapid.SampledFrom(delayed).Draw(t, "update")
				shown = max(shown, u.After)
				if inbox.Receive(&u, own) == replication.Applicable {
					own = u.Version
				}
			},
			"begin a read, unless one is under way": func(*rapid.T) {
				if readAt > 0 {
					return
				}
				inbox.BeginRead()
				readAt = stored
			},
			"end the read, if one is under way": func(*rapid.T) {
				if readAt == 0 {
					return
				}
				own = max(own, readAt)
				inbox.EndRead(own)
				readAt = 0
			},
			"": func(t *rapid.T) {
				if inbox.Left() > 0 && own < shown {
					t.Fatalf("the copy at version %d is vouched for, though an update has told of a change at %d", own, shown)
				}
			},
		})
	})
}

// TestWrongUpdateEndsNoVouching guards against a receiver that reads the store all the time after an update with a version that the store has not
// reached.
func TestWrongUpdateEndsNoVouching(t *testing.T) {
	inbox := replication.NewInbox(func() time.Duration { return 0 }, maxSilence)
	if got := inbox.Receive(&replication.Update{After: 900, Version: 900, Newest: 900}, 5); got != replication.Gap {
		t.Fatalf("got %v, want a gap", got)
	}
	inbox.BeginRead()
	inbox.EndRead(7)
	if inbox.Left() <= 0 {
		t.Error("a read after the update does not vouch for the copy")
	}
}
