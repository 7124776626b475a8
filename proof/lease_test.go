package proof

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"cowslipshunt.example/wire"
)

// beliefs polls every instance for whether it believes that it holds a lease, until it is stopped, and records each time
// that two instances believe so at once.
type beliefs struct {
	s         *system
	lease     wire.LeaseName
	stop      chan struct{}
	done      chan struct{}
	heldUntil map[string]time.Time
	conflicts []string
	polls     int
}

func watchBeliefs(s *system, lease wire.LeaseName) *beliefs {
	b := &beliefs{s: s, lease: lease, stop: make(chan struct{}), done: make(chan struct{}), heldUntil: map[string]time.Time{}}
	go func() {
		defer close(b.done)
		for {
			select {
			case <-b.stop:
				return
			case <-time.After(pollInterval):
				b.poll()
			}
		}
	}()
	return b
}

// poll queries each instance once. The belief of a holder lasts at least until the time just before the query plus the
// remaining time that the holder reports.
func (b *beliefs) poll() {
	b.polls++
	for _, m := range b.s.instances {
		sentAt := time.Now()
		belief := b.s.belief(m, b.lease)
		answeredAt := time.Now()
		if !belief.Holds {
			continue
		}
		for other, until := range b.heldUntil {
			if other != m.name && answeredAt.Before(until) {
				b.conflicts = append(b.conflicts, fmt.Sprintf("%s believes that it holds the lease while %s still does for %v", m.name, other, until.Sub(answeredAt)))
			}
		}
		b.heldUntil[m.name] = sentAt.Add(time.Duration(belief.LeftMillis) * time.Millisecond)
	}
}

func (b *beliefs) finish(t *testing.T) {
	t.Helper()
	close(b.stop)
	<-b.done
	for _, c := range b.conflicts {
		t.Error(c)
	}
	if b.polls == 0 {
		t.Error("no instance was polled")
	}
}

// belief returns what an instance believes about a lease. An instance that does not answer counts as believing nothing.
func (s *system) belief(m *instance, lease wire.LeaseName) wire.LeaseBelief {
	for _, l := range get[wire.LeaseBeliefList](m.statusAddress, "/status").Leases {
		if l.Lease == lease {
			return l
		}
	}
	return wire.LeaseBelief{}
}

// holderOf returns an instance other than except that holds a lease, or nil.
func (s *system) holderOf(lease wire.LeaseName, except *instance) *instance {
	for _, m := range s.instances {
		if m != except && s.belief(m, lease).Holds {
			return m
		}
	}
	return nil
}

// receivedOrders returns the orders that an engine received, oldest first.
func (e *endpoint) receivedOrders() []wire.EngineOrderReceived {
	return get[wire.EngineReceivedList](e.address, "/received").Orders
}

// checkOrders checks that no engine accepted an order again after a later one, that an engine that checks fencing accepted
// no older epoch after a newer one, and that the platform received no order of an older epoch after one of a newer epoch.
func (s *system) checkOrders(t *testing.T) {
	t.Helper()
	for _, e := range s.engines {
		replaced := map[wire.OrderId]bool{}
		var last wire.OrderId
		var epoch wire.Epoch
		for _, r := range e.receivedOrders() {
			if replaced[r.Order.Order] && r.Accepted {
				t.Errorf("%s accepted order %s again after %s", e.id, r.Order.Order, last)
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
	for _, o := range get[wire.EndpointOrderList](s.platformAddress, "/received/orders").Orders {
		if o.Epoch < newest[o.Domain] {
			t.Errorf("the platform received an order of epoch %d after one of epoch %d", o.Epoch, newest[o.Domain])
		}
		newest[o.Domain] = max(newest[o.Domain], o.Epoch)
	}
}

// checkNothingCut checks that no engine ended a request early, even if another engine resumed it. It is for tests in which
// no endpoint fails, and is called after the load has stopped.
func (s *system) checkNothingCut(t *testing.T) {
	t.Helper()
	for _, r := range s.engineRuns() {
		if !r.Finished {
			t.Errorf("attempt %d of request %s ended early after %d tokens; cancelled: %v", r.Attempt, r.Request, r.Emitted, r.Cancelled)
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

// loadedEverywhere reports whether each engine has loaded a version of the model and has no order in progress.
func (s *system) loadedEverywhere(version wire.ModelVersion) bool {
	for _, e := range s.engines {
		state := get[wire.EngineState](e.address, "/state")
		if state.ModelVersion != version || !state.LastOrderDone {
			return false
		}
	}
	return true
}

// TestPausedLeaseHolderDuringOrder pauses the lease holder while an engine carries out its order, changes the document, lets
// another instance take over, and then resumes the old holder. Two instances must never believe at once that they hold
// the lease, no engine may accept an old order again after a newer one, and no request may be ended early. It runs with
// engines that check fencing tokens and with engines that do not.
func TestPausedLeaseHolderDuringOrder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("ChecksFencing=%v", checks), func(t *testing.T) {
			p := fullPlan()
			p.separateDuties = true
			p.checksFencing = checks
			p.engineSettings = "OrderMillis = 600\nDecodeMicrosPerToken = 2000\n"
			s := newSystem(t, p)
			s.waitEndpointsReady()
			watch := watchBeliefs(s, "domain/a")
			l := startLoad(s, 4)
			holder := s.holderOf("domain/a", nil)
			if holder == nil {
				t.Fatal("no instance holds the lease")
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
			eventually(t, "the old holder reports that it no longer holds the lease", func() bool {
				b := s.belief(holder, "domain/a")
				return b.Lease != "" && !b.Holds
			})
			s.submitModelVersion(3, "4")
			eventually(t, "version 4 is loaded", func() bool { return s.loadedEverywhere("4") })
			l.finish(t, 10)
			watch.finish(t)
			s.checkOrders(t)
			s.checkNothingCut(t)
		})
	}
}

// TestKilledLeaseHolderIsReplaced kills and restarts the lease holder three times while documents change under load. Another
// instance must take over the lease and finish the change, without two instances that believe at once that they hold it, and
// without ending a request early.
func TestKilledLeaseHolderIsReplaced(t *testing.T) {
	p := fullPlan()
	p.separateDuties = true
	p.engineSettings = "OrderMillis = 300\nDecodeMicrosPerToken = 2000\n"
	s := newSystem(t, p)
	s.waitEndpointsReady()
	watch := watchBeliefs(s, "domain/a")
	l := startLoad(s, 4)
	for i := range 3 {
		holder := s.holderOf("domain/a", nil)
		if holder == nil {
			t.Fatal("no instance holds the lease")
		}
		s.submitModelVersion(i+1, wire.ModelVersion(fmt.Sprint(i+2)))
		holder.duties.kill()
		eventually(t, "another instance holds the lease", func() bool { return s.holderOf("domain/a", holder) != nil })
		holder.duties.restart(t)
		eventually(t, "the version is loaded", func() bool { return s.loadedEverywhere(wire.ModelVersion(fmt.Sprint(i + 2))) })
	}
	l.finish(t, 10)
	watch.finish(t)
	s.checkOrders(t)
	s.checkNothingCut(t)
}
