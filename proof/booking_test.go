package proof

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"cowslipshunt.example/wire"
)

// bookingLoad sends bookings from several callers at once. Each booking has its own Idempotency-Key and is sent a fixed
// number of times, each time to a random entry.
type bookingLoad struct {
	s        *system
	attempts int
	mu       sync.Mutex
	// confirmed holds the successful answer that a caller got for each booking.
	confirmed map[string]string
	outcomes  map[string]int
}

func newBookingLoad(s *system, attempts int) *bookingLoad {
	return &bookingLoad{s: s, attempts: attempts, confirmed: map[string]string{}, outcomes: map[string]int{}}
}

func (b *bookingLoad) run(t *testing.T, name string, n int) {
	var work sync.WaitGroup
	for i := range n {
		work.Go(func() { b.book(t, fmt.Sprintf("%s-%d", name, i)) })
	}
	work.Wait()
}

func (b *bookingLoad) book(t *testing.T, booking string) {
	c := newCaller(testKey)
	for range b.attempts {
		m := b.s.instances[rand.IntN(len(b.s.instances))]
		res := c.book(m.address, booking, "key-"+booking)
		b.mu.Lock()
		b.outcomes[fmt.Sprintf("%d %s", res.status, res.outcome)]++
		before, answered := b.confirmed[booking]
		if res.status == http.StatusOK && res.complete {
			if answered && before != res.body {
				t.Errorf("%s: two answers, %q and %q", booking, before, res.body)
			}
			b.confirmed[booking] = res.body
		}
		b.mu.Unlock()
	}
}

// check verifies that no booking ran twice and that each confirmed booking ran once.
func (b *bookingLoad) check(t *testing.T) {
	runs := b.s.bookingRuns()
	for booking, n := range runs {
		if n > 1 {
			t.Errorf("%s ran %d times", booking, n)
		}
	}
	for booking := range b.confirmed {
		if runs[booking] != 1 {
			t.Errorf("%s was confirmed but ran %d times", booking, runs[booking])
		}
	}
	t.Logf("%d confirmed, %d ran, answers by outcome: %v", len(b.confirmed), len(runs), b.outcomes)
}

func bookingPlan() plan {
	p := smallPlan()
	p.engines = 0
	p.services = 2
	p.entries = 3
	p.entrySettings = "ClaimMillis = 400\nStoreMillis = 300\nStoreTimeoutMillis = 200\nStallMillis = 2000\nQueueMillis = 1000\n"
	return p
}

// TestBookingsRunAtMostOnce sends each booking several times to random entries, under one fault of the services or the
// table after another. The Idempotency-Key must keep a booking from running twice, also if answers are lost.
func TestBookingsRunAtMostOnce(t *testing.T) {
	s := newReadySystem(t, bookingPlan())
	b := newBookingLoad(s, 3)
	faults := []struct {
		name  string
		begin func()
		end   func()
	}{
		{"no fault", func() {}, func() {}},
		{"answers lost", func() { s.setServiceFaults(wire.ServiceFault{CloseAfterRun: true, Once: true}) }, func() {}},
		{"reused connections closed", func() { s.setServiceFaults(wire.ServiceFault{CloseReused: true}) }, func() { s.setServiceFaults(wire.ServiceFault{}) }},
		{"refused without running", func() { s.setServiceFaults(wire.ServiceFault{Refuse: true, Once: true}) }, func() {}},
		{"slow service", func() { s.setServiceFaults(wire.ServiceFault{DelayMillis: 300}) }, func() { s.setServiceFaults(wire.ServiceFault{}) }},
		{"table loses answers", func() { s.post(s.platformAddress, "/fault", wire.PlatformFault{LoseAnswers: true}) }, func() { s.post(s.platformAddress, "/fault", wire.PlatformFault{}) }},
		{"table slow", func() { s.post(s.platformAddress, "/fault", wire.PlatformFault{DelayMillis: 300}) }, func() { s.post(s.platformAddress, "/fault", wire.PlatformFault{}) }},
		{"table down", func() { s.post(s.platformAddress, "/fault", wire.PlatformFault{Down: true}) }, func() { s.post(s.platformAddress, "/fault", wire.PlatformFault{}) }},
		{"after all faults", func() {}, func() {}},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			f.begin()
			b.run(t, f.name, 20)
			f.end()
			b.check(t)
		})
	}
	if n := b.outcomes["200 "]; n < 4*20 {
		t.Errorf("only %d bookings were answered", n)
	}
}

func (s *system) setServiceFaults(f wire.ServiceFault) {
	for _, e := range s.services {
		s.post(e.address, "/fault", f)
	}
}

// TestBookingsSurviveKilledEntries kills and restarts entries between a booking's claim and its answer, and sends the
// booking again through other entries. A claim whose entry has died must not let the booking run twice.
func TestBookingsSurviveKilledEntries(t *testing.T) {
	s := newReadySystem(t, bookingPlan())
	s.setServiceFaults(wire.ServiceFault{DelayMillis: 100})
	b := newBookingLoad(s, 6)
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.run(t, "killed", 60)
	}()
	for _, m := range s.instances[1:] {
		<-time.After(150 * time.Millisecond)
		m.entry.kill()
		m.entry.restart(t)
	}
	<-done
	b.check(t)
}

// TestUnkeyedBookingsAreNeverRepeated sends bookings without an Idempotency-Key while answers are lost and connections are
// closed. Without a key, an entry must not repeat a request that may have run, and must answer Unknown for it.
func TestUnkeyedBookingsAreNeverRepeated(t *testing.T) {
	s := newReadySystem(t, bookingPlan())
	s.setServiceFaults(wire.ServiceFault{CloseReused: true})
	for _, e := range s.services {
		e.proxy.setMode(loseAnswers)
	}
	outcomes := map[string]string{}
	for i := range 10 {
		booking := fmt.Sprintf("lost-%d", i)
		res := newCaller(testKey).book(s.instances[0].address, booking, "")
		outcomes[booking] = res.outcome
		if res.status == http.StatusOK {
			t.Errorf("%s: a booking whose answer was lost was answered %d", booking, res.status)
		}
	}
	for _, e := range s.services {
		e.proxy.setMode(pass)
	}
	runs := s.bookingRuns()
	for booking, outcome := range outcomes {
		if n := runs[booking]; n > 1 || n == 1 && outcome != "Unknown" {
			t.Errorf("%s ran %d times and was answered with outcome %q", booking, n, outcome)
		}
	}
	if len(runs) == 0 {
		t.Error("no booking reached a service")
	}
}

// TestPausedEntryDoesNotBookLate pauses an entry after it has claimed a booking, sends the booking again through another
// entry, and resumes the first. The paused entry and the other must not both run the booking.
func TestPausedEntryDoesNotBookLate(t *testing.T) {
	s := newReadySystem(t, bookingPlan())
	s.instances[0].platformProxy.setDelay(100 * time.Millisecond)
	first := make(chan result, 1)
	go func() { first <- newCaller(testKey).book(s.instances[0].address, "hall", "key-hall") }()
	eventually(t, "the claim is in the table", func() bool { return s.claimCount() == 1 })
	s.instances[0].entry.signal(syscall.SIGSTOP)
	repeat := newCaller(testKey).book(s.instances[1].address, "hall", "key-hall")
	s.instances[0].entry.signal(syscall.SIGCONT)
	s.instances[0].platformProxy.setDelay(0)
	original := <-first
	if repeat.status != http.StatusConflict || repeat.outcome != "Unknown" {
		t.Errorf("the repeat was answered %d %q", repeat.status, repeat.outcome)
	}
	if n := s.bookingRuns()["hall"]; n != 1 || original.status != http.StatusOK {
		t.Errorf("the booking ran %d times; the first caller got %d %s", n, original.status, original.body)
	}
	if again := newCaller(testKey).book(s.instances[2].address, "hall", "key-hall"); again.body != original.body {
		t.Errorf("a later repeat got %q, not %q", again.body, original.body)
	}
}

// claimCount counts the rows of the claim table.
func (s *system) claimCount() int {
	var answer wire.RowsAnswer
	res := newCaller("").call(http.MethodPost, s.platformAddress, "/table/scan", `{"Table":"claim","Prefix":"","After":"","Limit":1000}`, http.Header{"Content-Type": {"application/json"}})
	decodeJSON(res.body, &answer)
	return len(answer.Rows)
}
