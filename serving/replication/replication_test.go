package replication_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/replication"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

const (
	// tick is the step of the virtual clock of a model.
	tick = 50 * time.Millisecond
	// maxSilence is how long an update vouches for a copy in a model.
	maxSilence = 1500 * time.Millisecond
	// maxDelay is the longest time that a datagram takes in a model.
	maxDelay = 4 * tick
)

// row is the last change of an endpoint.
type row struct {
	version replication.Version
	listed  bool
}

// datagram is an update on its way.
type datagram struct {
	update replication.Update
	at     time.Duration
}

// model is a table with one reader and one receiver on a virtual clock.
type model struct {
	t       *rapid.T
	now     time.Duration
	version replication.Version
	history []replication.Change
	// changed is when the change of each version was made.
	changed map[replication.Version]time.Duration

	log           *replication.Log
	readerVersion replication.Version
	lastAnswer    time.Duration
	frozen        bool

	inbox *replication.Inbox
	copy  map[wire.EndpointId]row
	own   replication.Version
	// reads counts the reads of the receiver itself.
	reads     int
	datagrams []datagram
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, log: replication.NewLog("t", rapid.IntRange(1, 5).Draw(t, "changes in an update")),
		changed: map[replication.Version]time.Duration{}, copy: map[wire.EndpointId]row{}}
	m.inbox = replication.NewInbox(func() time.Duration { return m.now }, maxSilence)
	return m
}

// change makes a transaction that changes some rows, and some of other tables.
func (m *model) change() {
	m.version++
	m.changed[m.version] = m.now
	for range rapid.IntRange(0, 3).Draw(m.t, "rows") {
		id := wire.EndpointId(fmt.Sprint(rapid.IntRange(0, 3).Draw(m.t, "endpoint")))
		var e *roster.Entry
		if rapid.Bool().Draw(m.t, "listed") {
			e = &roster.Entry{Key: roster.Key{ID: id, Born: int64(m.version)}}
		}
		m.history = append(m.history, replication.NewChange(m.version, id, e))
	}
}

// after returns the changes after a version.
func (m *model) after(v replication.Version) []replication.Change {
	var list []replication.Change
	for _, c := range m.history {
		if c.Version > v {
			list = append(list, c)
		}
	}
	return list
}

// stepReader lets the reader receive the store's answer if there are changes or its feed call has waited long enough.
func (m *model) stepReader() {
	if m.frozen {
		return
	}
	changes := m.after(m.readerVersion)
	if len(changes) == 0 && m.now-m.lastAnswer < replication.ReaderWait(maxSilence) {
		return
	}
	m.lastAnswer, m.readerVersion = m.now, m.version
	m.log.Append(m.version, changes)
	updates := []replication.Update{m.log.Unchanged()}
	if len(changes) > 0 {
		updates = m.log.Latest()
	}
	for _, u := range updates {
		for range rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(m.t, "copies") {
			delay := time.Duration(rapid.IntRange(0, int(maxDelay/tick)).Draw(m.t, "delay")) * tick
			m.datagrams = append(m.datagrams, datagram{update: u, at: m.now + delay})
		}
	}
}

// stepReceiver delivers the updates that have arrived, and lets the receiver read the store if nothing vouches for its copy.
func (m *model) stepReceiver() {
	var waiting []datagram
	for _, d := range m.datagrams {
		if d.at > m.now {
			waiting = append(waiting, d)
			continue
		}
		if m.inbox.Receive(&d.update, m.own) == replication.Applicable {
			m.apply(d.update.Changes, d.update.Version)
		}
	}
	m.datagrams = waiting
	if m.inbox.Left() <= 0 {
		m.reads++
		m.inbox.BeginRead()
		m.apply(m.after(m.own), m.version)
		m.inbox.EndRead(m.version)
	}
}

func (m *model) apply(changes []replication.Change, v replication.Version) {
	for _, c := range changes {
		if c.Version > m.own {
			m.copy[c.ID] = row{version: c.Version, listed: c.Entry() != nil}
		}
	}
	m.own = v
}

// check checks that the copy is the table as of its version, and that it is not behind by more than the bound.
func (m *model) check() {
	want := map[wire.EndpointId]row{}
	for _, c := range m.history {
		if c.Version <= m.own {
			want[c.ID] = row{version: c.Version, listed: c.Entry() != nil}
		}
	}
	if !maps.Equal(m.copy, want) {
		m.t.Fatalf("the copy at version %d is %v, want %v", m.own, m.copy, want)
	}
	for _, c := range m.after(m.own) {
		if behind := m.now - m.changed[c.Version]; behind > maxSilence+maxDelay {
			m.t.Fatalf("the copy at version %d lacks version %d of %v ago", m.own, c.Version, behind)
		}
	}
}

func (m *model) step() {
	m.now += tick
	m.stepReader()
	m.stepReceiver()
	m.check()
}

// TestCopiesFollowTheTableOverLossyDatagrams loses, delays, reorders and repeats the updates of a reader that is frozen now and then.
func TestCopiesFollowTheTableOverLossyDatagrams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.IntRange(0, 4).Draw(t, "changes") == 0 {
				m.change()
			}
			if rapid.IntRange(0, 39).Draw(t, "freezes") == 0 {
				m.frozen = !m.frozen
			}
			m.step()
		}
	})
}

// TestReceiverOfRunningReaderReadsNothing checks that a receiver whose updates arrive asks the store only once, at its start.
func TestReceiverOfRunningReaderReadsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		log := replication.NewLog("t", 12)
		inbox := replication.NewInbox(func() time.Duration { return now }, maxSilence)
		version := replication.Version(7)
		log.Reset(version)
		own := version
		deliver := func(list ...replication.Update) {
			for _, u := range list {
				switch inbox.Receive(&u, own) {
				case replication.Applicable:
					own = u.Version
				case replication.Gap:
					t.Fatalf("update %+v leaves a gap after version %d", u, own)
				case replication.Known:
				}
			}
		}
		deliver(log.Unchanged())
		for range rapid.IntRange(1, 50).Draw(t, "answers") {
			now += time.Duration(rapid.IntRange(1, int(replication.ReaderWait(maxSilence)/time.Millisecond)).Draw(t, "wait")) * time.Millisecond
			if inbox.Left() <= 0 {
				t.Fatal("the copy is not vouched for")
			}
			version += replication.Version(rapid.IntRange(1, 3).Draw(t, "versions"))
			if rapid.Bool().Draw(t, "changes") {
				log.Append(version, []replication.Change{replication.NewChange(version, "i", nil)})
				deliver(log.Latest()...)
				continue
			}
			log.Append(version, nil)
			deliver(log.Unchanged())
		}
		if own != version {
			t.Fatalf("the copy has version %d of %d", own, version)
		}
	})
}

// TestEachDomainHasTwoReaders checks the roles in deployments of any size.
func TestEachDomainHasTwoReaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains, size := rapid.IntRange(1, 5).Draw(t, "domains"), rapid.IntRange(1, 200).Draw(t, "instances")
		var all []membership.Peer
		perDomain := map[wire.DomainName]int{}
		for i := range size {
			p := membership.Peer{Address: fmt.Sprint("10.0.0.1:", i), Domain: wire.DomainName(fmt.Sprint(i % domains))}
			all = append(all, p)
			perDomain[p.Domain]++
		}
		readers := map[wire.DomainName]int{}
		for i, p := range all {
			peers := append(append([]membership.Peer(nil), all[:i]...), all[i+1:]...)
			switch replication.RoleOf(p, peers, maxSilence) {
			case replication.Reader:
				readers[p.Domain]++
			case replication.Alone:
				if size >= 30 {
					t.Fatalf("instance %d of %d is alone", i, size)
				}
			case replication.Receiver:
				if size < 30 {
					t.Fatalf("instance %d of %d relies on readers", i, size)
				}
			}
			if role := replication.RoleOf(p, peers, time.Second); role != replication.Alone {
				t.Fatalf("with too little time to notice a silent reader, the role is %v", role)
			}
		}
		for d, n := range perDomain {
			if size >= 30 && readers[d] != min(2, n) {
				t.Fatalf("domain %s of %d instances has %d readers", d, n, readers[d])
			}
		}
	})
}

// TestChangesKeepTheirEntries checks that a change carries each field of an entry.
func TestChangesKeepTheirEntries(t *testing.T) {
	e := roster.Entry{
		Key: roster.Key{ID: "i", Born: 5}, Service: "s", Address: "10.0.0.1:80", Domain: "a", Slots: 3, Stage: roster.Decode,
		Leaving: true, Spot: true,
	}
	c := replication.NewChange(1, "i", &e)
	if got := c.Entry(); got == nil || *got != e {
		t.Errorf("got %+v, want %+v", got, e)
	}
}
