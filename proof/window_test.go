package proof

import (
	"reflect"
	"syscall"
	"testing"
	"time"

	"cowslipshunt.example/wire"
)

// usageLease is the lease under which windows are reported.
const usageLease wire.LeaseName = "usage"

// pausedFor is longer than the lease's term and a challenger's wait.
const pausedFor = 3 * time.Second

func windowPlan() plan {
	p := whole()
	p.domains = []string{"a", "b"}
	p.apart = true
	p.entrySettings = "LeaveMillis = 50\nStoreTimeoutMillis = 500\n"
	p.dutySettings = "LeaseTermMillis = 1500\nOrderTimeoutMillis = 500\nTickMillis = 100\nWindowSeconds = 1\nStoreTimeoutMillis = 500\n"
	return p
}

// reporter waits for the instance whose instance holds the usage lease.
func (s *system) reporter(t *testing.T) *member {
	t.Helper()
	var holder *member
	eventually(t, "an instance holds the usage lease", func() bool {
		for _, m := range s.members {
			if s.belief(m, usageLease).Holds {
				holder = m
			}
		}
		return holder != nil
	})
	return holder
}

// reports returns every usage report that the platform received.
func (s *system) reports() []wire.UsageReport {
	return get[wire.UsageReportList](s.platform, "/received/usage").Reports
}

// lastWindow returns the highest window that was reported.
func (s *system) lastWindow() int {
	last := 0
	for _, r := range s.reports() {
		last = max(last, r.Window)
	}
	return last
}

// TestUsageWindowsHaveOneSetOfFigures kills and pauses the holder of the usage lease, cuts its domain from the platform,
// and loses and delays reports' answers, under load, and holds all reports against one another and against what the
// callers got.
func TestUsageWindowsHaveOneSetOfFigures(t *testing.T) {
	t.Parallel()
	s := newSystem(t, windowPlan())
	s.serveFully()
	s.linked(t)
	c := startCustomers(s, 1)
	reporting := func(f wire.PlatformFault) {
		f.Paths = []string{"/usage"}
		s.post(s.platform, "/fault", f)
	}
	faults := []func(m *member){
		func(m *member) {
			m.duties.kill()
			m.duties.restart(t)
		},
		func(m *member) {
			m.duties.signal(syscall.SIGSTOP)
			<-time.After(pausedFor)
			m.duties.signal(syscall.SIGCONT)
		},
		func(m *member) {
			reporting(wire.PlatformFault{LoseAnswers: true})
			s.reportedAgain(t)
			m.duties.kill()
			m.duties.restart(t)
			<-time.After(pausedFor)
			reporting(wire.PlatformFault{})
		},
		func(m *member) {
			reporting(wire.PlatformFault{DelayMillis: 1000})
			s.reportedAgain(t)
			m.duties.signal(syscall.SIGSTOP)
			<-time.After(pausedFor)
			m.duties.signal(syscall.SIGCONT)
			reporting(wire.PlatformFault{})
		},
		func(m *member) {
			s.cutPlatform(blackHole, m.domain)
			<-time.After(pausedFor)
			s.cutPlatform(pass, m.domain)
		},
	}
	for _, fault := range faults {
		s.reportedAgain(t)
		fault(s.reporter(t))
		s.reportedAgain(t)
	}
	c.finish()
	c.check(t)
	billed := s.billed()
	eventually(t, "the windows sum to what is billed", func() bool { return reflect.DeepEqual(sumOf(s.reports()), billed) })
	checkReports(t, s.reports())
}

// reportedAgain waits until a window after the present last one is reported.
func (s *system) reportedAgain(t *testing.T) {
	t.Helper()
	before := s.lastWindow()
	eventually(t, "the next window is reported", func() bool { return s.lastWindow() > before })
}

// sumOf adds the figures of each window once.
func sumOf(reports []wire.UsageReport) bills {
	sums, seen := bills{}, map[int]bool{}
	for _, r := range reports {
		if seen[r.Window] {
			continue
		}
		seen[r.Window] = true
		for _, f := range r.Figures {
			sums.add(f.Workspace, f.Requests, int(f.OutputTokens))
		}
	}
	return sums
}

// checkReports demands one set of figures a window, no gap, and no report of a holder after one of a later holder.
func checkReports(t *testing.T, reports []wire.UsageReport) {
	t.Helper()
	figures := map[int][]wire.UsageFigure{}
	holders := map[wire.IncarnationId]bool{}
	repeats, last := 0, wire.Epoch(0)
	for _, r := range reports {
		known, repeated := figures[r.Window]
		if repeated {
			repeats++
		}
		if repeated && !reflect.DeepEqual(known, r.Figures) {
			t.Errorf("window %d was reported with %+v and with %+v", r.Window, known, r.Figures)
		}
		if r.Epoch < last {
			t.Errorf("window %d came from epoch %d after epoch %d", r.Window, r.Epoch, last)
		}
		last = max(last, r.Epoch)
		figures[r.Window] = r.Figures
		holders[r.Incarnation] = true
	}
	for n := range len(figures) {
		if _, reported := figures[n+1]; !reported {
			t.Errorf("window %d was not reported", n+1)
		}
	}
	if repeats == 0 || len(holders) < 3 {
		t.Errorf("the test brought about %d repeats by %d holders", repeats, len(holders))
	}
	t.Logf("%d reports of %d windows, %d repeats, %d holders", len(reports), len(figures), repeats, len(holders))
}
