// Command stand-3 plays the cases of the third review that are scripts: it starts the routers as processes, and is their platform, servers and
// clients.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cowslipshunt.example/platform/platformtest"
)

// standTB lets the project's stand-ins run outside of a test.
type standTB struct {
	testing.TB
}

func (standTB) Helper()                      {}
func (standTB) Cleanup(func())               {}
func (standTB) Fatal(args ...any)            { exitUnplayed(fmt.Sprint(args...)) }
func (standTB) Fatalf(f string, args ...any) { exitUnplayed(fmt.Sprintf(f, args...)) }

// unplayed is a reason why a case could not run.
type unplayed string

func exitUnplayed(reason string) {
	panic(unplayed(reason))
}

// record writes what was sent, answered and run, one line each, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		exitUnplayed(err.Error())
	}
	return &record{file: f, began: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// world is a deployment on loopback addresses.
type world struct {
	rec     *record
	dir     string
	store   *platformtest.Store
	duties  *platformtest.DutyServer
	routers []*router
	// peerPort is the UDP port of all routers, which have addresses of their own.
	peerPort int

	mu      sync.Mutex
	servers []*server
}

func newWorld(rec *record) *world {
	dir, err := os.MkdirTemp("", "stand-3-")
	if err != nil {
		exitUnplayed(err.Error())
	}
	w := &world{rec: rec, dir: dir, store: platformtest.NewStore(standTB{}), duties: platformtest.NewDutyServer(standTB{})}
	var ips []string
	for n := range maxRouters {
		ips = append(ips, routerIP(n))
	}
	w.peerPort = freePort(ips...)
	return w
}

// close ends all processes.
func (w *world) close() {
	for _, r := range w.routers {
		r.kill()
	}
	_ = os.RemoveAll(w.dir)
}

// lowestPort and ports are the ports that cases use, below those that the kernel gives to clients.
const (
	lowestPort = 10000
	ports      = 20000
)

// freePort returns a port that is free at all of some addresses, for TCP and UDP.
func freePort(ips ...string) int {
	for range 100 {
		port := lowestPort + rand.IntN(ports)
		if !slices.ContainsFunc(ips, func(ip string) bool { return !isFree(fmt.Sprintf("%s:%d", ip, port)) }) {
			return port
		}
	}
	exitUnplayed("no port is free")
	return 0
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = l.Close()
	c, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// router is one machine of the system with its process.
type router struct {
	w                          *world
	name, zone, ip             string
	caller, ready, file, logTo string
	extra                      []string

	mu  sync.Mutex
	cmd *exec.Cmd
	// up is when the present process was started, zero while there is none.
	up time.Time
}

// maxRouters is how many machines a case may have.
const maxRouters = 8

// routerIP returns the address of a machine.
func routerIP(n int) string {
	return fmt.Sprintf("127.0.%d.1", 1+n)
}

// zones are the zones of the deployment.
var zones = []string{"qld-a", "qld-b", "qld-c"}

// addRouter adds a machine, without starting its process. The lines are further settings.
func (w *world) addRouter(n int, lines ...string) *router {
	zone := zones[n%len(zones)]
	r := &router{w: w, name: fmt.Sprintf("front-%s-%d", zone, 1+n/len(zones)), zone: zone, ip: routerIP(n), extra: lines}
	r.caller, r.ready = fmt.Sprintf("%s:%d", r.ip, freePort(r.ip)), fmt.Sprintf("%s:%d", r.ip, freePort(r.ip))
	r.file, r.logTo = filepath.Join(w.dir, r.name+".conf"), filepath.Join(w.dir, r.name+".log")
	w.routers = append(w.routers, r)
	return r
}

// settings are like those that DEPLOY.md shows.
func (r *router) settings(first bool) string {
	lines := []string{
		"node_name=" + r.name, "role=router", "machine_class=front", "serves=front", "ip=" + r.ip, "zone=" + r.zone, "region=qld",
		"zones.qld-a=qld", "zones.qld-b=qld", "zones.qld-c=qld",
		"listen.front=" + r.caller, "listen.ready=" + r.ready, fmt.Sprintf("port_range=%d,%d", r.w.peerPort, r.w.peerPort+15),
		fmt.Sprintf("first_start=%t", first), "loss_counted=false", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284",
		"limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,platform",
		"fault_tolerance.machines=2", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4",
		"bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250",
		"bounds.max_stretch_ms=5000", "bounds.strict_revoke=false", "bounds.revoke_ms=5000", "bounds.retry_ratio=0.2",
		"bounds.retry_window_s=10", "bounds.retry_slack=56", "bounds.fencing=false", "bounds.lease_ms=3000", "bounds.thaw_slack_ms=300",
		"bounds.report_window_s=5", "bounds.usage_tolerance=0.05", "bounds.usage_late_s=10", "bounds.recovery_s=12",
		"bounds.transit_ms=120", "bounds.retry_after_s=8.9",
		"platform.address=" + r.w.store.Address, "platform.form=table", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.tx_ms=3.0", "platform.appends_per_s=300", "platform.row_bytes=65536", "platform.across=true", "platform.history_s=20",
		"platform.blob_bytes=8388608", "platform.blob_ms=25.0", "platform.blob_mb_per_s=80.0",
		"cloud.address=" + r.w.duties.Address, "cloud.rate_per_s=50.0", "cloud.duties=usage_report", "cloud.duty_per_s=50.0",
	}
	return strings.Join(append(lines, r.extra...), "\n") + "\n"
}

// start starts the process with the command of the deploy file.
func (r *router) start(first bool) {
	if err := os.WriteFile(r.file, []byte(r.settings(first)), 0o600); err != nil {
		exitUnplayed(err.Error())
	}
	log, err := os.OpenFile(r.logTo, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		exitUnplayed(err.Error())
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/router", "serve", "--metrics", fmt.Sprint(r.w.peerPort))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COWSLIPSHUNT_NODE_FILE=" + r.file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		exitUnplayed(err.Error())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cmd, r.up = cmd, time.Now()
	r.w.rec.add("%s: process started", r.name)
}

// kill ends the process with SIGKILL.
func (r *router) kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil {
		return
	}
	_ = r.cmd.Process.Kill()
	_ = r.cmd.Wait()
	r.cmd, r.up = nil, time.Time{}
	r.w.rec.add("%s: process killed", r.name)
}

// inTouch reports whether the process has run for the whole of a time before a moment.
func (r *router) inTouch(at time.Time, contact time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.up.IsZero() && at.Sub(r.up) >= contact
}

// awaitReady waits until each router says that it is ready.
func (w *world) awaitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for _, r := range w.routers {
		for !r.isReady() {
			if time.Now().After(deadline) {
				exitUnplayed(r.name + " is not ready")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// configuration is a small one: streams of model engines, bookings and look-ups.
func configuration(version int) string {
	route := func(name, prefix, kind, service string, timeout, goal, gap float64, attempts int, resume bool) map[string]any {
		return map[string]any{"name": name, "host": "ficu95.example", "path_prefix": prefix, "kind": kind, "service": service, "timeout_ms": timeout,
			"goal_ms": goal, "gap_target_ms": gap, "priority": 1, "max_attempts": attempts, "public": false, "can_resume": resume, "sticky": kind == "streaming"}
	}
	c := map[string]any{
		"version": version,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"routes": []any{
			route("query", "/query/", "streaming", "models", 8000, 400, 150, 1, false),
			route("note", "/note/", "streaming", "models", 4000, 500, 150, 2, true),
			route("confirm", "/confirm/", "non_idempotent", "booking", 600, 100, 0, 1, false),
			route("lookup", "/lookup/", "idempotent", "booking", 600, 100, 0, 2, false),
		},
		"services": []any{
			map[string]any{"name": "models", "health_path": "/health", "max_conns": 370,
				"engine": map[string]any{"slots": 64, "kv_capacity": 484150, "kv_token_bytes": 163840, "kv_hold_s": 5, "swap_s": 3}},
			map[string]any{"name": "booking", "health_path": "/health", "max_conns": 110},
		},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{"key-hule"}}, map[string]any{"name": "fida11", "api_keys": []string{"key-fida"}}},
	}
	text, err := json.Marshal(c)
	if err != nil {
		exitUnplayed(err.Error())
	}
	return string(text)
}
