package quota_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/quota"
	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// Bounds of the platform's rule in these tests, and how long instances keep reports of silent peers.
const (
	window         = 8 * time.Second
	over           = 0.1
	slack          = 190000
	reportLifetime = 2500 * time.Millisecond
)

// fleet is a number of instances that exchange packets over a network that loses, delays and repeats them. It runs in a synctest bubble.
type fleet struct {
	t         testing.TB
	mu        sync.Mutex
	random    *rand.Rand
	instances []*instance
	quotas    map[wire.WorkspaceName]route.Quota
	// lost and repeated are shares of packets, maxDelay is the longest time that one takes.
	lost, repeated float64
	maxDelay       time.Duration
	// cut holds the domains that are partitioned from the others, since when.
	cut     map[wire.DomainName]time.Time
	packets int
	// asked holds the requests that the workspaces have sent; what follows holds their outcomes.
	asked    []run
	runs     []run
	refused  []run
	waits    []time.Duration
	requests sync.WaitGroup
}

// run is a request that was granted or refused.
type run struct {
	at        time.Time
	workspace wire.WorkspaceName
	cost      float64
	after     time.Duration
	domain    wire.DomainName
}

type instance struct {
	fleet   *fleet
	peer    membership.Peer
	manager *quota.Manager
	stop    context.CancelFunc
	// stopped is when the instance was killed or froze; zero while it runs.
	stopped time.Time
	// held are the packets that reach an instance while it is frozen.
	frozen bool
	held   []*quota.Packet
	born   int
}

func newFleet(t testing.TB, seed uint64, domains, perDomain int, quotas map[wire.WorkspaceName]route.Quota) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 1)), quotas: quotas, maxDelay: 3 * time.Millisecond, cut: map[wire.DomainName]time.Time{}}
	for d := range domains {
		for i := range perDomain {
			x := &instance{fleet: f, peer: membership.Peer{Address: fmt.Sprintf("10.0.%d.%d:1", d, i), Domain: wire.DomainName(rune('a' + d))}}
			f.instances = append(f.instances, x)
		}
	}
	for _, x := range f.instances {
		x.start()
	}
	return f
}

// start starts the instance as a new process.
func (x *instance) start() {
	x.born++
	x.fleet.mu.Lock()
	x.stopped = time.Time{}
	x.fleet.mu.Unlock()
	id := wire.IncarnationId(fmt.Sprintf("%s/%d", x.peer.Address, x.born))
	m := quota.New(x.peer, id, x, clockwork.NewRealClock(), window)
	m.SetQuotas(x.fleet.quotas)
	ctx, stop := context.WithCancel(context.Background())
	x.fleet.mu.Lock()
	x.manager, x.stop = m, stop
	x.fleet.mu.Unlock()
	x.fleet.mu.Lock()
	phase := time.Duration(x.fleet.random.Float64() * float64(quota.TickInterval))
	x.fleet.mu.Unlock()
	go func() {
		time.Sleep(phase)
		for ctx.Err() == nil {
			x.fleet.mu.Lock()
			frozen := x.frozen
			x.fleet.mu.Unlock()
			if !frozen {
				m.Tick()
			}
			time.Sleep(quota.TickInterval)
		}
	}()
}

func (x *instance) kill() {
	x.fleet.mu.Lock()
	x.stopped = time.Now()
	x.fleet.mu.Unlock()
	x.stop()
}

// freeze stops the instance from handling packets and ticks until thaw.
func (x *instance) freeze() {
	x.fleet.mu.Lock()
	defer x.fleet.mu.Unlock()
	x.frozen, x.stopped = true, time.Now()
}

func (x *instance) thaw() {
	x.fleet.mu.Lock()
	held := x.held
	x.frozen, x.held, x.stopped = false, nil, time.Time{}
	x.fleet.mu.Unlock()
	for _, p := range held {
		x.manager.Receive(p)
	}
}

// Instances returns the peers that are heard: those that run and can be reached, and others for reportLifetime.
func (x *instance) Instances() []membership.Peer {
	f := x.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []membership.Peer
	for _, y := range f.instances {
		recent := func(t time.Time) bool { return t.IsZero() || time.Since(t) < reportLifetime }
		since := time.Time{}
		if f.separated(x, y) {
			since = f.cut[x.peer.Domain]
			if since.IsZero() {
				since = f.cut[y.peer.Domain]
			}
		}
		if y != x && recent(y.stopped) && recent(since) {
			list = append(list, y.peer)
		}
	}
	return list
}

// separated reports whether a partition is between two instances.
func (f *fleet) separated(x, y *instance) bool {
	return x.peer.Domain != y.peer.Domain && (!f.cut[x.peer.Domain].IsZero() || !f.cut[y.peer.Domain].IsZero())
}

func (x *instance) Send(address string, p *quota.Packet) {
	f := x.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.packets++
	for _, y := range f.instances {
		if y.peer.Address != address || f.separated(x, y) {
			continue
		}
		copies := 1
		if f.random.Float64() < f.lost {
			copies = 0
		} else if f.random.Float64() < f.repeated {
			copies = 2
		}
		for range copies {
			time.AfterFunc(time.Duration(f.random.Float64()*float64(f.maxDelay)), func() { y.deliver(p) })
		}
	}
}

func (x *instance) deliver(p *quota.Packet) {
	x.fleet.mu.Lock()
	frozen, stopped, m := x.frozen, !x.stopped.IsZero(), x.manager
	if frozen {
		x.held = append(x.held, p)
	}
	x.fleet.mu.Unlock()
	if !stopped {
		m.Receive(p)
	}
}

// awaitThaw waits as long as the instance is frozen, and reports whether it goes on soon. A client of one that is frozen for longer leaves.
func (x *instance) awaitThaw() bool {
	for range 20 {
		x.fleet.mu.Lock()
		frozen := x.frozen
		x.fleet.mu.Unlock()
		if !frozen {
			return true
		}
		time.Sleep(schedulerPeriod / 20)
	}
	return false
}

// request sends a request to the instance, in a goroutine.
func (x *instance) request(w wire.WorkspaceName, cost float64) {
	f := x.fleet
	f.mu.Lock()
	q, stopped, m := f.quotas[w], !x.stopped.IsZero() && !x.frozen, x.manager
	f.mu.Unlock()
	if stopped {
		return
	}
	f.requests.Go(func() {
		if !x.awaitThaw() {
			return
		}
		arrived := time.Now()
		_, err := m.Take(context.Background(), &route.Workspace{Name: w, Quota: q}, quota.Cost{Unit: q.Unit, Amount: cost})
		f.mu.Lock()
		defer f.mu.Unlock()
		f.waits = append(f.waits, time.Since(arrived))
		r := run{at: time.Now(), workspace: w, cost: cost, domain: x.peer.Domain}
		var refused *quota.RefusedError
		if errors.As(err, &refused) {
			r.after = refused.RetryAfter
			f.refused = append(f.refused, r)
			return
		}
		f.runs = append(f.runs, r)
	})
}

// setQuotas changes the limits at all instances.
func (f *fleet) setQuotas(quotas map[wire.WorkspaceName]route.Quota) {
	f.mu.Lock()
	f.quotas = quotas
	f.mu.Unlock()
	for _, x := range f.instances {
		x.manager.SetQuotas(quotas)
	}
}

// end stops all instances.
func (f *fleet) end() {
	f.requests.Wait()
	for _, x := range f.instances {
		x.stop()
	}
	// A bubble must not end before its goroutines.
	time.Sleep(time.Second)
}

// load sends requests of a workspace at a mean rate in tokens per second for a time, to instances that pick chooses. The costs are drawn by
// draw.
func (f *fleet) load(w wire.WorkspaceName, perSecond float64, d time.Duration, draw func(*rand.Rand) float64, pick func() *instance) {
	f.mu.Lock()
	random := rand.New(rand.NewPCG(7, f.random.Uint64()))
	f.mu.Unlock()
	for end := time.Now().Add(d); time.Now().Before(end); {
		cost := draw(random)
		x := pick()
		f.mu.Lock()
		f.asked = append(f.asked, run{at: time.Now(), workspace: w, cost: cost})
		f.mu.Unlock()
		x.request(w, cost)
		time.Sleep(time.Duration(random.ExpFloat64() * cost / perSecond * float64(time.Second)))
	}
}

// anyInstance picks an instance at random.
func (f *fleet) anyInstance() *instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[f.random.IntN(len(f.instances))]
}

// inDomain picks an instance of a domain at random.
func (f *fleet) inDomain(d wire.DomainName) func() *instance {
	return func() *instance {
		for {
			if x := f.anyInstance(); x.peer.Domain == d {
				return x
			}
		}
	}
}
