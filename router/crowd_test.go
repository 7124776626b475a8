package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/platform/wire"
)

// The size of a crowd of callers outside the limits, and the bounds that the process has to keep.
const (
	crowdConns = 150
	// crowdMemoryMB is the memory that the settings allow the process, crowdDescriptors the number of descriptors.
	crowdMemoryMB    = 64
	crowdDescriptors = 128
	// crowdMaxSent bounds the bytes that each connection sends, crowdTime how long it sends.
	crowdMaxSent = 1 << 20
	crowdTime    = 2 * time.Second
)

// crowdMutex lets one test with a crowd run at a time: each takes a part of the machine's memory.
var crowdMutex sync.Mutex

// program is the program, run as a process of its own.
type program struct {
	t        *testing.T
	settings *platform.Settings
	metrics  string
	pid      int
	exited   chan struct{}
	output   *logBuffer
}

// buildProgram builds the program without the race detector, which multiplies its memory, and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "router")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// startProgram starts the program at path with lowered limits and a configuration with changes.
func startProgram(t *testing.T, path string, changes ...platformtest.Change) *program {
	t.Helper()
	store, duties := platformtest.NewStore(t), platformtest.NewDutyServer(t)
	endpoint := platformtest.NewReplica(t, respondDone)
	text := platformtest.Settings(freeAddress(t), freeAddress(t), store.Address, duties.Address, freePort(t)) +
		fmt.Sprintf("limits.memory_mb=%d\nlimits.max_fds=%d\n", crowdMemoryMB, crowdDescriptors)
	s, err := platform.ParseSettings("boot.conf", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "boot.conf")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	limits := func(c *wire.Configuration) {
		c.Limits = &wire.Limits{MaxHeaderBytes: 16384, HeaderTimeoutMs: 3000, MaxBodyBytes: 4194304, IdleTimeoutMs: 15000}
	}
	store.Put(platform.OperatorTable, platform.ConfigurationKey, platformtest.OpenConfiguration(t, 1, append([]platformtest.Change{limits}, changes...)...))
	store.Put(platform.ReplicaTable, "i-1", platformtest.Entry(endpoint.Address, "ready"))
	metricsAddress := freeAddress(t)
	_, port, _ := net.SplitHostPort(metricsAddress)
	p := &program{t: t, settings: s, metrics: metricsAddress, exited: make(chan struct{}), output: &logBuffer{}}
	cmd := exec.Command(path, "serve", "--metrics", port)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+file)
	cmd.Stdout, cmd.Stderr = p.output, p.output
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.pid = cmd.Process.Pid
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-p.exited
	})
	waitFor(t, "the first request that is served", p.served)
	return p
}

// alive reports whether the process runs.
func (p *program) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// served sends one ordinary request on a new connection and reports whether it was answered.
func (p *program) served() bool {
	c, err := net.DialTimeout("tcp", p.settings.CallerAddress, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(waitTimeout / 3))
	h := http.Header{}
	platformtest.Identify(h, strconv.FormatInt(time.Now().UnixNano(), 36), "k")
	var head bytes.Buffer
	_ = h.Write(&head)
	if _, err := fmt.Fprintf(c, "POST /a/b HTTP/1.1\r\nHost: h.example\r\n%sContent-Length: 4\r\n\r\nbook", head.Bytes()); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && string(body) == "done book"
}

// rssMB returns the resident memory of the process, descriptors the number of its open descriptors; 0 if it has ended.
func (p *program) rssMB() int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(fields[0])
	return kb >> 10
}

func (p *program) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	return len(entries)
}

// crowd opens connections to an address. Each sends first, and then what next returns again and again, until it is closed or next returns
// nothing. It sends a few KB at a time, as many callers on slow links do, and the connections of a crowd keep pace with each other. Each
// stays open until crowdTime has passed.
func (p *program) crowd(address, first string, next func(i int) string) {
	p.t.Helper()
	crowdMutex.Lock()
	defer crowdMutex.Unlock()
	end := time.Now().Add(crowdTime)
	var group sync.WaitGroup
	for range crowdConns {
		group.Go(func() { sendWithoutEnd(address, first, next, end) })
	}
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	maxRSS, maxDescriptors, during := 0, 0, make(chan bool, 1)
	go func() { during <- holdsInTime(p.served) }()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for open := true; open && p.alive(); {
		maxRSS, maxDescriptors = max(maxRSS, p.rssMB()), max(maxDescriptors, p.descriptors())
		select {
		case <-done:
			open = false
		case <-ticker.C:
		}
	}
	p.t.Logf("largest resident memory %d MB, most descriptors %d", maxRSS, maxDescriptors)
	if maxRSS > crowdMemoryMB {
		p.t.Errorf("the process took %d MB, want at most %d", maxRSS, crowdMemoryMB)
	}
	if maxDescriptors > crowdDescriptors {
		p.t.Errorf("the process had %d descriptors, want at most %d", maxDescriptors, crowdDescriptors)
	}
	if !<-during {
		p.t.Error("no ordinary request was answered beside the crowd")
	}
	if !holdsInTime(p.served) {
		p.t.Error("no ordinary request is answered after the crowd")
	}
	if !p.alive() {
		p.t.Errorf("the process has ended: %s", p.output)
	}
}

// sendWithoutEnd is one connection of a crowd.
func sendWithoutEnd(address, first string, next func(i int) string, end time.Time) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(end)
	go func() { _, _ = io.Copy(io.Discard, c) }()
	_, err = io.WriteString(c, first)
	i := 0
	for sent, more := 0, true; more && sent < crowdMaxSent && err == nil; {
		var b strings.Builder
		for more && b.Len() < 4<<10 {
			part := next(i)
			b.WriteString(part)
			more = part != ""
			i++
		}
		sent += b.Len()
		_, err = io.WriteString(c, b.String())
		time.Sleep(time.Millisecond)
	}
	time.Sleep(time.Until(end))
}

// shortField returns a field of its own name.
func shortField(i int) string {
	return strconv.FormatInt(int64(i)+36*36, 36) + ":\r\n"
}

// TestCrowdStaysWithinMemory guards against processes that run out of memory, or of descriptors, over the heads of callers' requests.
func TestCrowdStaysWithinMemory(t *testing.T) {
	const line = "POST /a/b HTTP/1.1\r\nHost: h.example\r\n"
	const request = line + "Content-Length: 0\r\n\r\n"
	path := buildProgram(t)
	repeat := func(s string) func(int) string { return func(int) string { return s } }
	for _, crowd := range []struct {
		name, first string
		next        func(i int) string
	}{
		{"head without end", line + "A: ", repeat("aaaaaaaaaaaaaaaa")},
		{"head over the limit", line, func(i int) string { return fmt.Sprintf("F%d: %s\r\n", i, strings.Repeat("a", 1000)) }},
		{"many short fields", line, shortField},
		{"one field many times", line, repeat("a:\r\n")},
		{"empty lines before a request", "", repeat("\r\n")},
		{"empty lines between requests", request, repeat("\r\n")},
		{"request line without end", "GET /", repeat("a")},
	} {
		for _, port := range []string{"caller", "ready", "metrics"} {
			t.Run(crowd.name+" at the port for "+port, func(t *testing.T) {
				p := startProgram(t, path)
				address := map[string]string{"caller": p.settings.CallerAddress, "ready": p.settings.ReadyAddress, "metrics": p.metrics}[port]
				p.crowd(address, crowd.first, crowd.next)
			})
		}
	}
}
