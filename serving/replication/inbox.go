package replication

import "time"

// Result is what an update means to an instance.
type Result int

// The results.
const (
	// Known means that the update has nothing that the instance does not know.
	Known Result = iota
	// Applicable means that the instance can apply the changes of the update that are newer than its own version.
	Applicable
	// Gap means that the instance lacks changes before those of the update.
	Gap
)

// Inbox judges the updates that an instance receives. It is not safe for concurrent use.
type Inbox struct {
	// now returns the time since the machine booted, which also passes while the machine is suspended.
	now func() time.Duration
	// maxSilence is how long the last update vouches for the copy.
	maxSilence time.Duration
	// heard is when the last update arrived that brought the copy to the version of its reader; fresh is false if none has since the last
	// gap.
	heard time.Duration
	fresh bool
	// missing is the highest version after which an update has changes that the copy lacks, 0 if there was none; missingBefore is what it
	// was as the present read of the store began.
	missing, missingBefore Version
}

// NewInbox returns an inbox whose copy counts as up to date for maxSilence after each update.
func NewInbox(now func() time.Duration, maxSilence time.Duration) *Inbox {
	return &Inbox{now: now, maxSilence: maxSilence}
}

// Receive judges an update for an instance whose copy has a version. An update of a reader that is behind the copy vouches for nothing: the
// update is old, or the copy's version is wrong.
func (b *Inbox) Receive(u *Update, own Version) Result {
	if u.After > own {
		b.missing = max(b.missing, u.After)
		b.fresh = false
		return Gap
	}
	if known := max(own, u.Version); own <= u.Newest && known >= u.Newest && known >= b.missing {
		b.vouch()
	}
	if u.Version <= own {
		return Known
	}
	return Applicable
}

// BeginRead records that the instance begins to read the store itself.
func (b *Inbox) BeginRead() {
	b.missingBefore = b.missing
}

// EndRead records that the copy has a version by the answer of the store, which vouches for it as an update does. It does not if an update that
// has arrived since BeginRead shows later changes: the answer may be older. An update that had arrived before was wrong.
func (b *Inbox) EndRead(v Version) {
	if b.missing > v && b.missing > b.missingBefore {
		return
	}
	b.missing = 0
	b.vouch()
}

func (b *Inbox) vouch() {
	b.heard, b.fresh = b.now(), true
}

// Left returns for how long the copy still counts as up to date; it is not positive once the instance has to read the store itself.
func (b *Inbox) Left() time.Duration {
	if !b.fresh {
		return 0
	}
	return b.heard + b.maxSilence - b.now()
}

// Invalidate makes the copy count as out of date until the next update.
func (b *Inbox) Invalidate() {
	b.fresh = false
}
