package proof

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"cowslipshunt.example/wire"
)

// beliefs asks every instance whether it believes that it holds a lease, until it is ended, and keeps what contradicts
// itself.
type beliefs struct {
	s        *system
	lease    wire.LeaseName
	end      chan struct{}
	done     chan struct{}
	until    map[string]time.Time
	conflict []string
	polls    int
}

func watchBeliefs(s *system, lease wire.LeaseName) *beliefs {
	b := &beliefs{s: s, lease: lease, end: make(chan struct{}), done: make(chan struct{}), until: map[string]time.Time{}}
	go func() {
		defer close(b.done)
		for {
			select {
			case <-b.end:
				return
			case <-time.After(pollEvery):
				b.poll()
			}
		}
	}()
	return b
}

// poll notes how long each holder will believe at least, by the time before it was asked.
func (b *beliefs) poll() {
	b.polls++
	for _, m := range b.s.members {
		asked := time.Now()
		belief := b.s.belief(m, b.lease)
		answered := time.Now()
		if !belief.Holds {
			continue
		}
		for other, until := range b.until {
			if other != m.name && answered.Before(until) {
				b.conflict = append(b.conflict, fmt.Sprintf("%s believes while %s still does for %v", m.name, other, until.Sub(answered)))
			}
		}
		b.until[m.name] = asked.Add(time.Duration(belief.LeftMillis) * time.Millisecond)
	}
}

func (b *beliefs) finish(t *testing.T) {
	t.Helper()
	close(b.end)
	<-b.done
	for _, c := range b.conflict {
		t.Error(c)
	}
	if b.polls == 0 {
		t.Error("nobody was asked")
	}
}

// belief returns what an instance believes about a lease; one that does not answer believes nothing to others.
func (s *system) belief(m *member, lease wire.LeaseName) wire.LeaseBelief {
	for _, l := range get[wire.LeaseBeliefList](m.status, "/status").Leases {
		if l.Lease == lease {
			return l
		}
	}
	return wire.LeaseBelief{}
}

// holderOf returns the member whose instance holds a lease, or nil.
func (s *system) holderOf(lease wire.LeaseName, not *member) *member {
	for _, m := range s.members {
		if m != not && s.belief(m, lease).Holds {
			return m
		}
	}
	return nil
}

// receivedOrders returns the orders that an engine received, in order.
func (b *backend) receivedOrders() []wire.EngineOrderReceived {
	return get[wire.EngineReceivedList](b.address, "/received").Orders
}

// checkOrders demands that an engine never got an order back that another one had followed, and that an engine that checks
// fencing accepted no older epoch after a newer one.
func (s *system) checkOrders(t *testing.T) {
	t.Helper()
	for _, e := range s.engines {
		replaced := map[wire.OrderId]bool{}
		var last wire.OrderId
		var epoch wire.Epoch
		for _, r := range e.receivedOrders() {
			if replaced[r.Order.Order] && r.Accepted {
				t.Errorf("%s got %s again after %s", e.id, r.Order.Order, last)
			}
			if r.Order.Order != last {
				replaced[last] = true
				last = r.Order.Order
			}
			if s.plan.checksFencing && r.Accepted && r.Order.Epoch < epoch {
				t.Errorf("%s accepted epoch %d after %d", e.id, r.Order.Epoch, epoch)
			}
			epoch = max(epoch, r.Order.Epoch)
		}
	}
	newest := map[wire.DomainName]wire.Epoch{}
	for _, o := range get[wire.EndpointOrderList](s.platform, "/received/orders").Orders {
		if o.Epoch < newest[o.Domain] {
			t.Errorf("the platform got an order of epoch %d after one of epoch %d", o.Epoch, newest[o.Domain])
		}
		newest[o.Domain] = max(newest[o.Domain], o.Epoch)
	}
}

// checkNothingCut demands that no engine cut a request short, though another one would have resumed it. It is for tests in
// which only planned changes happen, after the load has ended.
func (s *system) checkNothingCut(t *testing.T) {
	t.Helper()
	for _, r := range s.engineRuns() {
		if !r.Finished {
			t.Errorf("attempt %d of request %s was cut after %d tokens; cancelled: %v", r.Attempt, r.Request, r.Emitted, r.Cancelled)
		}
	}
}

// submitModelVersion submits a document with another version of the model.
func (s *system) submitModelVersion(base int, version wire.ModelVersion) {
	s.t.Helper()
	d := s.document()
	d.Model[0].Version = version
	s.submit(base, d)
}

// loadedEverywhere tells whether each engine has a version of the model and nothing under way.
func (s *system) loadedEverywhere(version wire.ModelVersion) bool {
	for _, e := range s.engines {
		state := get[wire.EngineState](e.address, "/state")
		if state.ModelVersion != version || !state.LastOrderDone {
			return false
		}
	}
	return true
}

// TestHolderPausedInTheMidstOfAnOrder stops the holder while an engine carries out its order, changes the document, lets
// another instance take over, and resumes the old holder late; with engines that check fencing and with ones that do not.
func TestHolderPausedInTheMidstOfAnOrder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("ChecksFencing=%v", checks), func(t *testing.T) {
			p := whole()
			p.apart = true
			p.checksFencing = checks
			p.engineSettings = "OrderMillis = 600\nDecodeMicrosPerToken = 2000\n"
			s := newSystem(t, p)
			s.serveFully()
			watched := watchBeliefs(s, "domain/a")
			l := startLoad(s, 4)
			holder := s.holderOf("domain/a", nil)
			if holder == nil {
				t.Fatal("nobody holds the lease")
			}
			before := len(s.engines[0].receivedOrders()) + len(s.engines[1].receivedOrders())
			s.submitModelVersion(1, "2")
			eventually(t, "an engine got the order", func() bool {
				return len(s.engines[0].receivedOrders())+len(s.engines[1].receivedOrders()) > before
			})
			holder.duties.signal(syscall.SIGSTOP)
			s.submitModelVersion(2, "3")
			eventually(t, "another instance holds the lease", func() bool { return s.holderOf("domain/a", holder) != nil })
			eventually(t, "version 3 is loaded", func() bool { return s.loadedEverywhere("3") })
			holder.duties.signal(syscall.SIGCONT)
			eventually(t, "the old holder knows that it lost", func() bool {
				b := s.belief(holder, "domain/a")
				return b.Lease != "" && !b.Holds
			})
			s.submitModelVersion(3, "4")
			eventually(t, "version 4 is loaded", func() bool { return s.loadedEverywhere("4") })
			l.finish(t, 10)
			watched.finish(t)
			s.checkOrders(t)
			s.checkNothingCut(t)
		})
	}
}

// TestKilledHolderIsReplaced kills the holder and restarts it, again and again, while documents change under load.
func TestKilledHolderIsReplaced(t *testing.T) {
	p := whole()
	p.apart = true
	p.engineSettings = "OrderMillis = 300\nDecodeMicrosPerToken = 2000\n"
	s := newSystem(t, p)
	s.serveFully()
	watched := watchBeliefs(s, "domain/a")
	l := startLoad(s, 4)
	for i := range 3 {
		holder := s.holderOf("domain/a", nil)
		if holder == nil {
			t.Fatal("nobody holds the lease")
		}
		s.submitModelVersion(i+1, wire.ModelVersion(fmt.Sprint(i+2)))
		holder.duties.kill()
		eventually(t, "another instance holds the lease", func() bool { return s.holderOf("domain/a", holder) != nil })
		holder.duties.restart(t)
		eventually(t, "the version is loaded", func() bool { return s.loadedEverywhere(wire.ModelVersion(fmt.Sprint(i + 2))) })
	}
	l.finish(t, 10)
	watched.finish(t)
	s.checkOrders(t)
	s.checkNothingCut(t)
}
