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

// Bounds of starting and stopping programs.
const (
	startWithin = 20 * time.Second
	pollEvery   = 20 * time.Millisecond
)

// binaries is where make build puts the programs.
const binaries = "../../bin"

// Ports are drawn below those that the system gives to outgoing connections.
const (
	firstPort = 12_000
	portRange = 16_000
	portStep  = 160
)

var ports = os.Getpid() * portStep

// freeAddress returns a loopback address that nobody listens on.
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

// start runs a program with settings until the benchmark ends.
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

// stop ends a program by its process id.
func (p *process) stop(b *testing.B) {
	b.Helper()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(startWithin, func() { _ = p.cmd.Process.Kill() })
	defer kill.Stop()
	if err := p.cmd.Wait(); err != nil {
		b.Errorf("%s: %v\n%s", p.cmd.Path, err, p.log)
	}
}

// waitFor polls until a condition holds.
func waitFor(b *testing.B, what string, holds func() bool) {
	b.Helper()
	deadline := time.After(startWithin)
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-deadline:
			b.Fatal(fmt.Errorf("not within %s: %s", startWithin, what))
		}
	}
}
