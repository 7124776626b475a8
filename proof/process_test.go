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

// Time limits of the test harness.
const (
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	stopTimeout  = 20 * time.Second
)

// Ports are taken from below the range that the operating system uses for outgoing connections.
const (
	firstPort = 20000
	lastPort  = 32000
)

// binaries is the directory that holds the programs that TestMain built.
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

// freeAddress returns a loopback address that nothing listens on. A UDP socket on the same port reserves it until the test
// ends, so that no other run of the tests on this machine takes it before a program listens there.
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
		reservation, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			reservation.Close()
			continue
		}
		l.Close()
		t.Cleanup(func() { reservation.Close() })
		return address
	}
	t.Fatal("no port is free")
	return ""
}

// runningProgram is a program that a test started.
type runningProgram struct {
	name         string
	program      string
	settingsFile string
	logFile      string
	cmd          *exec.Cmd
	exited       chan struct{}
	err          error
}

// start runs a program's serve command with settings. The program is killed when the test ends, and its log is shown on failure.
func start(t testing.TB, dir, program, name, settings string) *runningProgram {
	t.Helper()
	p := &runningProgram{name: name, program: program, settingsFile: filepath.Join(dir, name+".toml"), logFile: filepath.Join(dir, name+".log")}
	if err := os.WriteFile(p.settingsFile, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p.launch(t)
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			p.logOutput(t)
		}
	})
	return p
}

func (p *runningProgram) launch(t testing.TB) {
	t.Helper()
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binaries, p.program), "serve", "--settings", p.settingsFile)
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

func (p *runningProgram) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// kill ends the program at once, even while it is paused by SIGSTOP.
func (p *runningProgram) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop sends SIGTERM and returns the program's exit code. A program that does not end in time is killed and fails the test.
func (p *runningProgram) stop(t testing.TB) int {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		t.Errorf("%s did not stop", p.name)
		p.kill()
	}
	var exit *exec.ExitError
	if errors.As(p.err, &exit) {
		return exit.ExitCode()
	}
	return 0
}

// restart starts an ended program again, with the same settings and log file.
func (p *runningProgram) restart(t testing.TB) {
	t.Helper()
	p.launch(t)
}

const maxShownLogBytes = 6 << 10

func (p *runningProgram) logOutput(t testing.TB) {
	data, _ := os.ReadFile(p.logFile)
	if len(data) > maxShownLogBytes {
		data = data[len(data)-maxShownLogBytes:]
	}
	t.Logf("last log lines of %s:\n%s", p.name, data)
}

// eventually polls until a condition holds and fails the test after waitTimeout.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	deadline := time.After(waitTimeout)
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-deadline:
			t.Fatalf("condition not met after %v: %s", waitTimeout, what)
		}
	}
}
