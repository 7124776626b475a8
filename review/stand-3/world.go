// Command stand-3 plays the cases of the third review that are scripts: it starts the routers as processes, and is their platform, servers and
// clients.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
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
	text := strings.NewReplacer("NAME", r.name, "IP", r.ip, "ZONE", r.zone, "CALLER", r.caller, "READY", r.ready, "FIRST", strconv.FormatBool(first),
		"LOWEST", strconv.Itoa(r.w.peerPort), "HIGHEST", strconv.Itoa(r.w.peerPort+15), "STORE", r.w.store.Address, "DUTIES", r.w.duties.Address).Replace(settingsText)
	return text + strings.Join(r.extra, "\n") + "\n"
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
