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

// bookers sends bookings from several callers at once, each with its own Idempotency-Key and repeated until it is answered
// or the repeats are spent; each booking goes to a random entry every time.
type bookers struct {
	s       *system
	repeats int
	mu      sync.Mutex
	// confirmed holds the answer that a caller got for a booking.
	confirmed map[string]string
	outcomes  map[string]int
}

func newBookers(s *system, repeats int) *bookers {
	return &bookers{s: s, repeats: repeats, confirmed: map[string]string{}, outcomes: map[string]int{}}
}

func (b *bookers) run(t *testing.T, name string, n int) {
	var work sync.WaitGroup
	for i := range n {
		work.Go(func() { b.book(t, fmt.Sprintf("%s-%d", name, i)) })
	}
	work.Wait()
}

func (b *bookers) book(t *testing.T, booking string) {
	c := newCaller(testKey)
	for range b.repeats {
		m := b.s.members[rand.IntN(len(b.s.members))]
		res := c.book(m.address, booking, "key-"+booking)
		b.mu.Lock()
		b.outcomes[fmt.Sprintf("%d %s", res.status, res.outcome)]++
		before, answered := b.confirmed[booking]
		if res.status == http.StatusOK && res.whole {
			if answered && before != res.body {
				t.Errorf("%s: two answers, %q and %q", booking, before, res.body)
			}
			b.confirmed[booking] = res.body
		}
		b.mu.Unlock()
	}
}

// check demands that no booking ran twice, that each confirmed one ran, and that each that was never confirmed is not
// claimed to be.
func (b *bookers) check(t *testing.T) {
	runs := b.s.bookingRuns()
	for booking, n := range runs {
		if n > 1 {
			t.Errorf("%s ran %d times", booking, n)
		}
	}
	for booking := range b.confirmed {
		if runs[booking] != 1 {
			t.Errorf("%s was confirmed and ran %d times", booking, runs[booking])
		}
	}
	t.Logf("%d confirmed, %d ran, answers by outcome: %v", len(b.confirmed), len(runs), b.outcomes)
}

func bookingPlan() plan {
	p := small()
	p.engines = 0
	p.services = 2
	p.entries = 3
	p.entrySettings = "ClaimMillis = 400\nStoreMillis = 300\nStoreTimeoutMillis = 200\nStallMillis = 2000\nQueueMillis = 1000\n"
	return p
}

// TestBookingsRunAtMostOnce sends each booking several times through all entries while the endpoints and the table fail in
// one way after another.
func TestBookingsRunAtMostOnce(t *testing.T) {
	s := newSmall(t, bookingPlan())
	b := newBookers(s, 3)
	faults := []struct {
		name  string
		begin func()
		end   func()
	}{
		{"nothing", func() {}, func() {}},
		{"answers lost", func() { s.eachService(wire.ServiceFault{CloseAfterRun: true, Once: true}) }, func() {}},
		{"reused connections closed", func() { s.eachService(wire.ServiceFault{CloseReused: true}) }, func() { s.eachService(wire.ServiceFault{}) }},
		{"refused unrun", func() { s.eachService(wire.ServiceFault{Refuse: true, Once: true}) }, func() {}},
		{"slow service", func() { s.eachService(wire.ServiceFault{DelayMillis: 300}) }, func() { s.eachService(wire.ServiceFault{}) }},
		{"table loses answers", func() { s.post(s.platform, "/fault", wire.PlatformFault{LoseAnswers: true}) }, func() { s.post(s.platform, "/fault", wire.PlatformFault{}) }},
		{"table slow", func() { s.post(s.platform, "/fault", wire.PlatformFault{DelayMillis: 300}) }, func() { s.post(s.platform, "/fault", wire.PlatformFault{}) }},
		{"table down", func() { s.post(s.platform, "/fault", wire.PlatformFault{Down: true}) }, func() { s.post(s.platform, "/fault", wire.PlatformFault{}) }},
		{"after all", func() {}, func() {}},
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

func (s *system) eachService(f wire.ServiceFault) {
	for _, e := range s.services {
		s.post(e.address, "/fault", f)
	}
}

// TestBookingsSurviveKilledEntries kills and restarts entries between claim and answer, and repeats through the others.
func TestBookingsSurviveKilledEntries(t *testing.T) {
	s := newSmall(t, bookingPlan())
	s.eachService(wire.ServiceFault{DelayMillis: 100})
	b := newBookers(s, 6)
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.run(t, "killed", 60)
	}()
	for _, m := range s.members[1:] {
		<-time.After(150 * time.Millisecond)
		m.entry.kill()
		m.entry.restart(t)
	}
	<-done
	b.check(t)
}

// TestUnkeyedBookingsAreNeverRepeated sends bookings without a key while answers are lost and connections are cut.
func TestUnkeyedBookingsAreNeverRepeated(t *testing.T) {
	s := newSmall(t, bookingPlan())
	s.eachService(wire.ServiceFault{CloseReused: true})
	for _, e := range s.services {
		e.proxy.set(loseAnswers)
	}
	outcomes := map[string]string{}
	for i := range 10 {
		booking := fmt.Sprintf("lost-%d", i)
		res := newCaller(testKey).book(s.members[0].address, booking, "")
		outcomes[booking] = res.outcome
		if res.status == http.StatusOK {
			t.Errorf("%s: a lost answer was told as %d", booking, res.status)
		}
	}
	for _, e := range s.services {
		e.proxy.set(pass)
	}
	runs := s.bookingRuns()
	for booking, outcome := range outcomes {
		if n := runs[booking]; n > 1 || n == 1 && outcome != "Unknown" {
			t.Errorf("%s ran %d times and was told as %q", booking, n, outcome)
		}
	}
	if len(runs) == 0 {
		t.Error("no booking reached a service")
	}
}

// TestPausedEntryDoesNotBookLate stops an entry after its claim, lets its caller repeat elsewhere, and resumes it.
func TestPausedEntryDoesNotBookLate(t *testing.T) {
	s := newSmall(t, bookingPlan())
	s.members[0].platformProxy.slow(100 * time.Millisecond)
	first := make(chan result, 1)
	go func() { first <- newCaller(testKey).book(s.members[0].address, "hall", "key-hall") }()
	eventually(t, "the claim is in the table", func() bool { return s.claims() == 1 })
	s.members[0].entry.signal(syscall.SIGSTOP)
	repeat := newCaller(testKey).book(s.members[1].address, "hall", "key-hall")
	s.members[0].entry.signal(syscall.SIGCONT)
	s.members[0].platformProxy.slow(0)
	original := <-first
	if repeat.status != http.StatusConflict || repeat.outcome != "Unknown" {
		t.Errorf("the repeat was answered %d %q", repeat.status, repeat.outcome)
	}
	if n := s.bookingRuns()["hall"]; n != 1 || original.status != http.StatusOK {
		t.Errorf("it ran %d times; the first caller got %d %s", n, original.status, original.body)
	}
	if again := newCaller(testKey).book(s.members[2].address, "hall", "key-hall"); again.body != original.body {
		t.Errorf("a later repeat got %q, not %q", again.body, original.body)
	}
}

// claims counts the rows of the claim table.
func (s *system) claims() int {
	var answer wire.RowsAnswer
	res := newCaller("").call(http.MethodPost, s.platform, "/table/scan", `{"Table":"claim","Prefix":"","After":"","Limit":1000}`, http.Header{"Content-Type": {"application/json"}})
	decode(res.body, &answer)
	return len(answer.Rows)
}
