package proof

import (
	"reflect"
	"syscall"
	"testing"
	"time"

	"cowslipshunt.example/wire"
)

// usageLease is the lease whose holder reports usage windows.
const usageLease wire.LeaseName = "usage"

// pauseDuration is longer than the lease's term plus the time that another instance waits before it takes the lease.
const pauseDuration = 3 * time.Second

func windowPlan() plan {
	p := fullPlan()
	p.domains = []string{"a", "b"}
	p.separateDuties = true
	p.entrySettings = "LeaveMillis = 50\nStoreTimeoutMillis = 500\n"
	p.dutySettings = "LeaseTermMillis = 1500\nOrderTimeoutMillis = 500\nTickMillis = 100\nWindowSeconds = 1\nStoreTimeoutMillis = 500\n"
	return p
}

// usageReporter waits until an instance holds the usage lease and returns it.
func (s *system) usageReporter(t *testing.T) *instance {
	t.Helper()
	var holder *instance
	eventually(t, "an instance holds the usage lease", func() bool {
		for _, m := range s.instances {
			if s.belief(m, usageLease).Holds {
				holder = m
			}
		}
		return holder != nil
	})
	return holder
}

// usageReports returns every usage report that the platform has received.
func (s *system) usageReports() []wire.UsageReport {
	return get[wire.UsageReportList](s.platformAddress, "/received/usage").Reports
}

// lastReportedWindow returns the highest window number that was reported.
func (s *system) lastReportedWindow() int {
	last := 0
	for _, r := range s.usageReports() {
		last = max(last, r.Window)
	}
	return last
}

// TestUsageWindowsHaveOneSetOfFigures kills and pauses the holder of the usage lease, isolates its domain from the
// platform, and loses and delays the answers to reports, all under load. Repeated reports of a window must have the same
// figures, and their sum must match what the callers got.
func TestUsageWindowsHaveOneSetOfFigures(t *testing.T) {
	t.Parallel()
	s := newSystem(t, windowPlan())
	s.waitEndpointsReady()
	s.waitLinked(t)
	billing := startBillingLoad(s, 1)
	setReportFault := func(f wire.PlatformFault) {
		f.Paths = []string{"/usage"}
		s.post(s.platformAddress, "/fault", f)
	}
	faults := []func(m *instance){
		func(m *instance) {
			m.duties.kill()
			m.duties.restart(t)
		},
		func(m *instance) {
			m.duties.signal(syscall.SIGSTOP)
			<-time.After(pauseDuration)
			m.duties.signal(syscall.SIGCONT)
		},
		func(m *instance) {
			setReportFault(wire.PlatformFault{LoseAnswers: true})
			s.waitNextReport(t)
			m.duties.kill()
			m.duties.restart(t)
			<-time.After(pauseDuration)
			setReportFault(wire.PlatformFault{})
		},
		func(m *instance) {
			setReportFault(wire.PlatformFault{DelayMillis: 1000})
			s.waitNextReport(t)
			m.duties.signal(syscall.SIGSTOP)
			<-time.After(pauseDuration)
			m.duties.signal(syscall.SIGCONT)
			setReportFault(wire.PlatformFault{})
		},
		func(m *instance) {
			s.setPlatformProxies(blackHole, m.domain)
			<-time.After(pauseDuration)
			s.setPlatformProxies(pass, m.domain)
		},
	}
	for _, fault := range faults {
		s.waitNextReport(t)
		fault(s.usageReporter(t))
		s.waitNextReport(t)
	}
	billing.finish()
	billing.check(t)
	billed := s.billedUsage()
	eventually(t, "the windows sum to what is billed", func() bool { return reflect.DeepEqual(sumReports(s.usageReports()), billed) })
	checkReports(t, s.usageReports())
}

// waitNextReport waits until a window later than the last reported one is reported.
func (s *system) waitNextReport(t *testing.T) {
	t.Helper()
	before := s.lastReportedWindow()
	eventually(t, "the next window is reported", func() bool { return s.lastReportedWindow() > before })
}

// sumReports sums the figures of all windows, counting repeated reports once.
func sumReports(reports []wire.UsageReport) bills {
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

// checkReports checks that each window has one set of figures, that no window is missing, and that no report of an older
// epoch follows one of a newer epoch.
func checkReports(t *testing.T, reports []wire.UsageReport) {
	t.Helper()
	figures := map[int][]wire.UsageFigure{}
	holders := map[wire.IncarnationId]bool{}
	repeats, last := 0, wire.Epoch(0)
	for _, r := range reports {
		earlier, repeated := figures[r.Window]
		if repeated {
			repeats++
		}
		if repeated && !reflect.DeepEqual(earlier, r.Figures) {
			t.Errorf("window %d was reported with different figures: %+v and %+v", r.Window, earlier, r.Figures)
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
		t.Errorf("the test produced only %d repeats by %d holders", repeats, len(holders))
	}
	t.Logf("%d reports of %d windows, %d repeats, %d holders", len(reports), len(figures), repeats, len(holders))
}
