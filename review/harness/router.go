package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cowslipshunt.example/platform"
)

// routerProcess is one front machine: a process of the router, started as the deploy file says.
type routerProcess struct {
	name, ip, zone string
	port           int
	settings       string
	logPath        string
	rec            *record

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	started time.Time
}

// world is a small deployment.
type world struct {
	dir     string
	rec     *record
	store   *store
	cloud   string
	routers []*routerProcess
	zones   []string
}

func newWorld(rec *record, zones ...string) *world {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}
	w := &world{dir: dir, rec: rec, store: startStore(), cloud: startCloud(), zones: zones}
	onExit(func() {
		for _, r := range w.routers {
			r.kill()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("kept", dir)
		}
	})
	return w
}

// freeIP returns a loopback address on which the ports of a machine are free.
func freeIP(ports ...int) string {
	for range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
		free := true
		for _, p := range ports {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(p)))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return ip
		}
	}
	cannotRun("no free loopback address")
	return ""
}

const (
	frontPort, readyPort, peerPort, metricsPort = 8368, 8369, 7785, 7780
	memoryMB                                    = 284
)

// addRouter starts a router in a zone.
func (w *world) addRouter(zone string) *routerProcess {
	n := len(w.routers) + 1
	r := &routerProcess{
		name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, port: frontPort, rec: w.rec,
		ip: freeIP(frontPort, readyPort, metricsPort, peerPort),
	}
	r.settings = filepath.Join(w.dir, r.name+".conf")
	r.logPath = filepath.Join(w.dir, r.name+".log")
	text := settingsText(map[string]any{
		"Name": r.name, "IP": r.ip, "Zone": zone, "Zones": w.zones, "Front": frontPort, "Ready": readyPort, "Peer": peerPort, "LastPeer": peerPort + 10,
		"Memory": memoryMB, "Heartbeat": heartbeat.Milliseconds(), "Store": w.store.address, "Cloud": w.cloud,
	})
	if err := os.WriteFile(r.settings, []byte(text), 0o644); err != nil {
		cannotRun("settings: %v", err)
	}
	w.routers = append(w.routers, r)
	r.start()
	return r
}

// start starts the process. It does not wait until the router is ready.
func (r *routerProcess) start() {
	out, err := os.OpenFile(r.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cannotRun("log: %v", err)
	}
	cmd := exec.Command("target/router", "serve", "--metrics", strconv.Itoa(metricsPort))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "COWSLIPSHUNT_NODE_FILE=" + r.settings}
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel ends the router if this process is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("start the router: %v", err)
	}
	exited := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.exited, r.started = cmd, exited, time.Now()
	r.mu.Unlock()
	r.rec.add("%s: started", r.name)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		r.rec.add("%s: ended (%v)", r.name, err)
		close(exited)
	}()
}

func (r *routerProcess) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.add("%s: gets %v", r.name, s)
	_ = r.cmd.Process.Signal(s)
}

// kill ends the process and waits until it has ended.
func (r *routerProcess) kill() {
	r.mu.Lock()
	cmd, exited := r.cmd, r.exited
	r.mu.Unlock()
	select {
	case <-exited:
	default:
		_ = cmd.Process.Kill()
		<-exited
	}
}

// memory returns the resident memory of the process in bytes, 0 if it has ended.
func (r *routerProcess) memory() int {
	r.mu.Lock()
	pid := r.cmd.Process.Pid
	r.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb << 10
		}
	}
	return 0
}

func (r *routerProcess) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", r.ip, readyPort, platform.ReadyPath))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) waitReady() {
	for _, r := range w.routers {
		r.waitReady()
	}
}

func (r *routerProcess) waitReady() {
	for deadline := time.Now().Add(15 * time.Second); !r.ready(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			cannotRun("%s does not become ready", r.name)
		}
	}
}

func (r *routerProcess) front() string { return net.JoinHostPort(r.ip, strconv.Itoa(frontPort)) }
