package proof

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Times of the harness.
const (
	waitAtMost = 30 * time.Second
	pollEvery  = 20 * time.Millisecond
	stopWithin = 20 * time.Second
)

// Ports come from below the range that the system gives to outgoing connections.
const (
	firstPort = 20000
	lastPort  = 32000
)

var binaries string

var ports = struct {
	sync.Mutex
	next int
}{next: firstPort + os.Getpid()%1000*10}

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	for _, program := range []string{"entry", "cowslipshunt", "standin/platform", "standin/engine", "standin/service"} {
		out := filepath.Join(dir, strings.ReplaceAll(program, "/", "-"))
		build := exec.Command("go", "build", "-race", "-o", out, "../"+program)
		if text, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", program, err, text)
			return 1
		}
	}
	return m.Run()
}

// freeAddress returns a loopback address that nothing listens on. A UDP socket of the same number holds it until the test
// ends, so that no other run of the harness on this machine takes it before a program listens there.
func freeAddress(t testing.TB) string {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	for range lastPort - firstPort {
		ports.next++
		if ports.next >= lastPort {
			ports.next = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", ports.next)
		hold, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			hold.Close()
			continue
		}
		l.Close()
		t.Cleanup(func() { hold.Close() })
		return address
	}
	t.Fatal("no port is free")
	return ""
}

// running is one program that a test started.
type running struct {
	name     string
	program  string
	settings string
	logs     string
	cmd      *exec.Cmd
	exited   chan struct{}
	err      error
}

// start runs a program's serve command with settings.
func start(t testing.TB, dir, program, name, settings string) *running {
	t.Helper()
	p := &running{name: name, program: program, settings: filepath.Join(dir, name+".toml"), logs: filepath.Join(dir, name+".log")}
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p.launch(t)
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			p.showLogs(t)
		}
	})
	return p
}

func (p *running) launch(t testing.TB) {
	t.Helper()
	out, err := os.OpenFile(p.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binaries, p.program), "serve", "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		defer close(exited)
		defer out.Close()
		p.err = cmd.Wait()
	}()
}

func (p *running) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// kill ends the program at once, also if it is stopped.
func (p *running) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop asks the program to end and returns its exit code.
func (p *running) stop(t testing.TB) int {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopWithin):
		t.Errorf("%s did not stop", p.name)
		p.kill()
	}
	var exit *exec.ExitError
	if errors.As(p.err, &exit) {
		return exit.ExitCode()
	}
	return 0
}

// restart starts a program again that has ended.
func (p *running) restart(t testing.TB) {
	t.Helper()
	p.launch(t)
}

const shownLogBytes = 6 << 10

func (p *running) showLogs(t testing.TB) {
	data, _ := os.ReadFile(p.logs)
	if len(data) > shownLogBytes {
		data = data[len(data)-shownLogBytes:]
	}
	t.Logf("last logs of %s:\n%s", p.name, data)
}

// eventually waits until a condition holds.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	deadline := time.After(waitAtMost)
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-deadline:
			t.Fatalf("after %v still not: %s", waitAtMost, what)
		}
	}
}
