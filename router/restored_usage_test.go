package main

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/platform/platformtest"
)

// TestRestoredStoreReportsEveryRequestOnce guards against requests that are not billed, or billed twice, and against reports under a lower
// epoch, as two running instances meet a store that was restored while they count and report.
func TestRestoredStoreReportsEveryRequestOnce(t *testing.T) {
	x := startInstance(t, respondDone)
	x.store.SetEra(0)
	y := startInstance(t, respondDone, x.beside("front-a-2"))
	x.configure(1, "k")
	x.listEndpoint("i-1", "ready")
	served := 0
	post := func(i *testInstance) bool {
		status, _ := i.post(fmt.Sprint("r", served), "k")
		if status == http.StatusOK {
			served++
		}
		return status == http.StatusOK
	}
	for _, i := range []*testInstance{x, y} {
		i.eventually("a request that is served", func() bool { return post(i) })
	}
	x.eventually("the first report", func() bool { return len(x.duties.Calls()) > 0 })
	backup := x.store.Backup()
	serveFor := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); <-time.After(50 * time.Millisecond) {
			if !post(x) || !post(y) {
				t.Error("a request was not served")
			}
		}
	}
	serveFor(6 * time.Second)
	// The store is restored when a window has ended and is not frozen yet, and all of its counts are written.
	const window, unwritten = 5 * time.Second, 1500 * time.Millisecond
	serveFor(2*window - time.Duration(time.Now().UnixNano())%window - unwritten)
	<-time.After(unwritten + 300*time.Millisecond)
	x.store.Fail(http.StatusServiceUnavailable)
	<-time.After(300 * time.Millisecond)
	x.store.Restore(backup)
	x.store.Fail(0)
	x.listEndpoint("i-1", "ready")
	serveFor(2 * time.Second)
	total := func() int {
		sum := 0
		for _, n := range reportedWindows(t, x.duties.Calls()) {
			sum += n["w"]
		}
		return sum
	}
	deadline := time.Now().Add(25 * time.Second)
	for total() < served && time.Now().Before(deadline) {
		<-time.After(100 * time.Millisecond)
	}
	// A window that is reported again would come within this time.
	<-time.After(2 * time.Second)
	if got := total(); got != served {
		t.Errorf("%d requests were reported of %d", got, served)
	}
	if log := x.log.String() + y.log.String(); strings.Contains(log, "UsageNotReported") {
		t.Error("counts were found too late")
	}
}

// beside returns an edit of the settings of another instance that has the same store and reports to the same platform.
func (x *testInstance) beside(name string) func(settings string) string {
	return func(s string) string {
		s = platformtest.Joining(s, name, x.store.Address)
		at := strings.Index(s, "cloud.address=")
		end := at + strings.Index(s[at:], "\n")
		return s[:at] + "cloud.address=" + x.duties.Address + s[end:]
	}
}

// TestRollingRestartBesideRestoreReportsNoWindowTwice guards against a window that is reported again with lower counts: both instances were
// restarted in turn after its report, and the store comes back from a copy without its frozen row and with a part of its counts.
func TestRollingRestartBesideRestoreReportsNoWindowTwice(t *testing.T) {
	const window, copyBefore, rollGap = 5 * time.Second, 1500 * time.Millisecond, 1300 * time.Millisecond
	x := startInstance(t, respondDone)
	x.store.SetEra(0)
	names := []string{"front-a-1", "front-a-2"}
	running := []*testInstance{x, startInstance(t, respondDone, x.beside(names[1]))}
	x.configure(1, "k")
	x.listEndpoint("i-1", "ready")
	requests := 0
	serveFor := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); <-time.After(50 * time.Millisecond) {
			for _, i := range running {
				requests++
				_, _ = i.post(fmt.Sprint("r", requests), "k")
			}
		}
	}
	serveUntil := func(what string, done func() bool) {
		t.Helper()
		for deadline := time.Now().Add(40 * time.Second); !done(); serveFor(100 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("timed out waiting for %s; the logs are:\n%s\n%s", what, running[0].log, running[1].log)
			}
		}
	}
	reported := func(w int) func() bool {
		return func() bool {
			_, known := reportedWindows(t, x.duties.Calls())[w]
			return known
		}
	}
	serveUntil("the first report", func() bool { return len(x.duties.Calls()) > 0 })
	serveFor(2*window - time.Duration(time.Now().UnixNano())%window - copyBefore)
	copied, backup := int(time.Now().UnixMilli()/window.Milliseconds()), x.store.Backup()
	serveUntil("the report of the window of the copy", reported(copied))
	stopped := make(chan int, len(running))
	for n, i := range running {
		if n > 0 {
			<-time.After(rollGap)
		}
		i.stop()
		go func() {
			<-i.done
			stopped <- n
		}()
	}
	// The first instance starts again before the second one has ended.
	first := <-stopped
	running[first] = startInstance(t, respondDone, x.beside(names[first]))
	second := <-stopped
	x.store.Fail(http.StatusServiceUnavailable)
	running[second] = startInstance(t, respondDone, x.beside(names[second]))
	<-time.After(time.Second)
	x.store.Restore(backup)
	x.store.Fail(0)
	x.configure(1, "k")
	x.listEndpoint("i-1", "ready")
	last := int(time.Now().UnixMilli()/window.Milliseconds()) + 2
	serveUntil("the report of a later window", reported(last))
}

// reportedWindows returns the counts of each reported window. It fails the test if a window has two sets of them, or an epoch is lower than
// an earlier one.
func reportedWindows(t *testing.T, calls []platformtest.DutyCall) map[int]map[string]int {
	t.Helper()
	windows, last := map[int]map[string]int{}, 0
	for _, c := range calls {
		epoch, err := strconv.Atoi(c.FencingToken)
		if err != nil || epoch < last {
			t.Fatalf("a report under epoch %q came after one under %d", c.FencingToken, last)
		}
		last = epoch
		if c.Usage == nil {
			continue
		}
		if before, known := windows[c.Usage.WindowId]; known && !maps.Equal(before, c.Usage.Counts) {
			t.Fatalf("window %d was reported with %v and then %v", c.Usage.WindowId, before, c.Usage.Counts)
		}
		windows[c.Usage.WindowId] = c.Usage.Counts
	}
	return windows
}
