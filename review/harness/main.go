// Command harness plays the scripted cases of the review: it starts routers as processes and stands in for the platform, the replicas and
// the clients. It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// record collects what was sent, answered and run, and writes it to record.txt.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func (r *record) add(format string, args ...any) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f  ", now.Sub(r.start).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	for _, line := range r.lines {
		fmt.Fprintln(w, line)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Close()
}

var (
	exitMu  sync.Mutex
	onExits []func()
)

func onExit(f func()) { onExits = append(onExits, f) }

// finish ends what was started, writes the record and exits.
func finish(code int) {
	exitMu.Lock()
	for _, f := range onExits {
		f()
	}
	if rec != nil {
		if err := rec.write(recordPath); err != nil {
			fmt.Fprintln(os.Stderr, "record:", err)
		}
	}
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println("the case could not run:", text)
	if rec != nil {
		rec.add("the case could not run: %s", text)
	}
	finish(2)
}

// verdict prints and records the outcome and exits.
func verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	word, code := "held", 0
	if broken {
		word, code = "BROKEN", 1
	}
	fmt.Printf("%s: %s\n", word, text)
	rec.add("%s: %s", word, text)
	finish(code)
}

var (
	rec        *record
	recordPath string
	// trouble is false if TROUBLE=0: the case is then played without its disruption.
	trouble = os.Getenv("TROUBLE") != "0"
)

// cases are the functions that play the cases, by name.
var cases = map[string]func(){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: harness CASE RECORD")
		os.Exit(2)
	}
	recordPath = os.Args[2]
	rec = &record{start: time.Now()}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		finish(2)
	}()
	go func() {
		time.Sleep(115 * time.Second)
		cannotRun("the case takes too long")
	}()
	cases[os.Args[1]]()
}
