package capacity

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Time limit for starting and stopping programs, and how often conditions are polled.
const (
	startTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// binaries is the directory to which make build writes the programs.
const binaries = "../../bin"

// Ports are taken from below the range that the operating system uses for outgoing connections. Each process starts its
// search portStep ports after that of the process with the next lower id.
const (
	firstPort = 12_000
	portRange = 16_000
	portStep  = 160
)

var ports = os.Getpid() * portStep

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(b *testing.B) string {
	b.Helper()
	for range portRange {
		ports++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+ports%portRange)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	b.Fatal("no port is free")
	return ""
}

// process is a running program.
type process struct {
	cmd *exec.Cmd
	log *bytes.Buffer
}

// start starts a program with settings; it is stopped when the benchmark ends.
func start(b *testing.B, name string, settings any, env ...string) *process {
	b.Helper()
	text, err := toml.Marshal(settings)
	if err != nil {
		b.Fatal(err)
	}
	file := filepath.Join(b.TempDir(), "settings.toml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		b.Fatal(err)
	}
	p := &process{cmd: exec.Command(filepath.Join(binaries, name), "serve", "--settings", file), log: &bytes.Buffer{}}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { p.stop(b) })
	return p
}

// stop sends SIGTERM and waits for the program to exit. It kills a program that does not exit within startTimeout.
func (p *process) stop(b *testing.B) {
	b.Helper()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(startTimeout, func() { _ = p.cmd.Process.Kill() })
	defer kill.Stop()
	if err := p.cmd.Wait(); err != nil {
		b.Errorf("%s: %v\n%s", p.cmd.Path, err, p.log)
	}
}

// waitFor polls until a condition holds and fails the benchmark after startTimeout.
func waitFor(b *testing.B, what string, holds func() bool) {
	b.Helper()
	deadline := time.After(startTimeout)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-deadline:
			b.Fatal(fmt.Errorf("condition not met after %s: %s", startTimeout, what))
		}
	}
}
