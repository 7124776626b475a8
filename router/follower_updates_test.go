package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/replication"
	"cowslipshunt.example/serving/roster"
	"github.com/jonboulle/clockwork"
)

// updateBound is the time in which a copy has to follow the store in these tests; an update vouches for half of it.
const updateBound = 3 * time.Second

// replicaPair is a reader and a receiver of the tables of a store.
type replicaPair struct {
	t          *testing.T
	store      *platformtest.Store
	reader     *followers
	receiver   *followers
	directory  *roster.Directory
	relay      *relay.Relay
	stopReader context.CancelFunc
	// answers counts the answers of the store to the receiver.
	answers atomic.Int64

	mu  sync.Mutex
	cut bool
}

// newReplicaPair starts a reader whose updates reach a receiver unless the pair is cut.
func newReplicaPair(t *testing.T) *replicaPair {
	t.Helper()
	x := &replicaPair{t: t, store: platformtest.NewStore(t), directory: roster.NewDirectory()}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	readerCtx, stopReader := context.WithCancel(ctx)
	x.stopReader = stopReader
	logger := newLogger(io.Discard, "error", "i")
	liveInstances := func() int { return 80 }
	newRelay := func(d *roster.Directory) *relay.Relay {
		return relay.New(d, nil, nil, decisionLog{logger: logger}, clockwork.NewRealClock(), "a", relay.BudgetBounds{})
	}
	maxSilence := replication.MaxSilence(updateBound)
	x.relay = newRelay(x.directory)
	x.receiver = newFollowers(platform.NewStore(x.store.Address, func(time.Duration) { x.answers.Add(1) }), x.relay, x.directory, liveInstances, replicas{
		role: func() replication.Role { return replication.Receiver }, send: func([]replication.Update) { t.Error("a receiver sent updates") }, maxSilence: maxSilence,
	}, logger)
	d := roster.NewDirectory()
	x.reader = newFollowers(platform.NewStore(x.store.Address, nil), newRelay(d), d, liveInstances, replicas{
		role: func() replication.Role { return replication.Reader }, send: x.deliver, maxSilence: maxSilence,
	}, logger)
	for _, f := range []*follower{x.reader.configuration, x.reader.endpoints} {
		go f.run(readerCtx)
	}
	for _, f := range []*follower{x.receiver.configuration, x.receiver.endpoints} {
		go f.run(ctx)
	}
	return x
}

// deliver passes updates to the receiver.
func (x *replicaPair) deliver(updates []replication.Update) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cut {
		return
	}
	for _, u := range updates {
		x.receiver.receive(&u)
	}
}

func (x *replicaPair) setCut(cut bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cut = cut
}

// listed reports whether the receiver lists a number of endpoints.
func (x *replicaPair) listed(n int) func() bool {
	return func() bool { return len(x.directory.View().All()) == n }
}

func (x *replicaPair) configured(v int) func() bool {
	return func() bool { t := x.relay.Table(); return t != nil && int(t.Version) == v }
}

// settle waits until the receiver relies on the reader: for a while it makes no call.
func (x *replicaPair) settle() {
	x.t.Helper()
	const quiet = time.Second
	answers, since := x.answers.Load(), time.Now()
	waitFor(x.t, "a receiver that makes no calls", func() bool {
		if n := x.answers.Load(); n != answers {
			answers, since = n, time.Now()
		}
		return time.Since(since) > quiet
	})
}

// withinBound waits until a condition holds, which has to be within updateBound.
func (x *replicaPair) withinBound(what string, condition func() bool) {
	x.t.Helper()
	began := time.Now()
	waitFor(x.t, what, condition)
	if took := time.Since(began); took > updateBound {
		x.t.Errorf("%s took %v, want at most %v", what, took, updateBound)
	}
}

// start puts a configuration and an endpoint into the store, and waits until the receiver has them and relies on the reader.
func (x *replicaPair) start() {
	x.t.Helper()
	// The second change of each table ends the feed calls that the receiver has opened before it heard of the reader.
	for range 2 {
		x.store.Put(platform.OperatorTable, platform.ConfigurationKey, platformtest.Configuration(1, "k"))
		x.store.Put(platform.ReplicaTable, "i-0", platformtest.Entry("10.0.0.1:80", "ready"))
		waitFor(x.t, "a receiver with a copy", func() bool { return x.listed(1)() && x.configured(1)() })
		x.settle()
	}
}

func TestReceiverFollowsTheReaderWithoutCalls(t *testing.T) {
	x := newReplicaPair(t)
	x.start()
	answers := x.answers.Load()
	for i := range 30 {
		x.store.Put(platform.ReplicaTable, fmt.Sprint("i-", i), platformtest.Entry("10.0.0.1:80", "ready"))
	}
	x.withinBound("the list of new endpoints", x.listed(30))
	x.store.Delete(platform.ReplicaTable, "i-7")
	x.withinBound("the list without an endpoint", x.listed(29))
	x.store.Put(platform.ReplicaTable, "i-8", platformtest.Entry("10.0.0.1:80", "draining"))
	x.withinBound("an endpoint that leaves", func() bool { return x.directory.View().All()["i-8"].Entry().Leaving })
	if n := x.answers.Load() - answers; n > 0 {
		t.Errorf("the receiver made %d calls to the store", n)
	}
}

// TestReceiverFetchesNewConfiguration checks that a receiver learns of a new configuration, which does not fit into an update, and
// fetches it with one call.
func TestReceiverFetchesNewConfiguration(t *testing.T) {
	x := newReplicaPair(t)
	x.start()
	answers := x.answers.Load()
	x.store.Put(platform.OperatorTable, platform.ConfigurationKey, platformtest.Configuration(2, "k"))
	x.withinBound("the new configuration", x.configured(2))
	x.settle()
	if n := x.answers.Load() - answers; n != 1 {
		t.Errorf("the receiver made %d calls to the store, want 1", n)
	}
}

// TestReceiverReadsTheStoreOfSilentReader stops the reader, as if it was killed, frozen or cut off.
func TestReceiverReadsTheStoreOfSilentReader(t *testing.T) {
	x := newReplicaPair(t)
	x.start()
	x.stopReader()
	x.store.Delete(platform.ReplicaTable, "i-0")
	x.store.Put(platform.OperatorTable, platform.ConfigurationKey, platformtest.Configuration(2, "k"))
	x.withinBound("the store's newest state", func() bool { return x.listed(0)() && x.configured(2)() })
}

// TestReceiverNoticesLostUpdates loses the updates of several answers of the store.
func TestReceiverNoticesLostUpdates(t *testing.T) {
	x := newReplicaPair(t)
	x.start()
	x.setCut(true)
	for i := range 5 {
		x.store.Put(platform.ReplicaTable, fmt.Sprint("i-", i), platformtest.Entry("10.0.0.1:80", "ready"))
		waitFor(t, "the reader's copy", func() bool { return int(x.reader.endpoints.lag.Changed()) == x.store.Version() })
	}
	x.setCut(false)
	x.withinBound("all endpoints", x.listed(5))
}

// TestReceiverOutlastsAnOutageOfTheStore lets the store fail for a while, in which entries lapse. Those that are listed again after it
// must not be missing meanwhile.
func TestReceiverOutlastsAnOutageOfTheStore(t *testing.T) {
	x := newReplicaPair(t)
	x.start()
	x.store.Fail(http.StatusServiceUnavailable)
	waitFor(t, "a receiver that has lost the store", func() bool { return x.receiver.endpoints.storeLost.Load() })
	x.store.Delete(platform.ReplicaTable, "i-0")
	x.store.Fail(0)
	waitFor(t, "a receiver that has regained the store", func() bool { return !x.receiver.endpoints.storeLost.Load() })
	if !x.listed(1)() {
		t.Error("an endpoint whose entry lapsed was dropped at once")
	}
	x.store.Put(platform.ReplicaTable, "i-0", platformtest.Entry("10.0.0.1:80", "ready"))
	<-time.After(roster.LapseGrace)
	if !x.listed(1)() {
		t.Error("an endpoint that is listed again is missing")
	}
}
