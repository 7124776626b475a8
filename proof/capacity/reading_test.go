package capacity

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// reading is what a process has used since its start.
type reading struct {
	at        time.Time
	processor time.Duration
	readBytes int
	sentBytes int
	resident  int
}

// read looks a process up in /proc. Its bytes are those of all read and write calls: its sockets and its log.
func (p *process) read(b *testing.B) reading {
	b.Helper()
	root := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	r := reading{at: time.Now()}
	tasks, err := filepath.Glob(root + "/task/*/schedstat")
	if err != nil || len(tasks) == 0 {
		b.Fatal("no scheduler statistics", err)
	}
	for _, task := range tasks {
		data, _ := os.ReadFile(task)
		if words := strings.Fields(string(data)); len(words) > 0 {
			n, _ := strconv.ParseInt(words[0], 10, 64)
			r.processor += time.Duration(n)
		}
	}
	r.readBytes = field(b, root+"/io", "rchar:")
	r.sentBytes = field(b, root+"/io", "wchar:")
	r.resident = field(b, root+"/status", "VmRSS:") << 10
	return r
}

// field returns the number behind a name in one of /proc's files.
func field(b *testing.B, file, name string) int {
	b.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		b.Fatal(err)
	}
	return numberAfter(b, string(data), name)
}

func numberAfter(b *testing.B, text, name string) int {
	b.Helper()
	for line := range strings.SplitSeq(text, "\n") {
		if words := strings.Fields(line); len(words) > 1 && words[0] == name {
			n, err := strconv.ParseFloat(words[1], 64)
			if err != nil {
				b.Fatal(err)
			}
			return int(n)
		}
	}
	b.Fatalf("no %s", name)
	return 0
}

// counter returns one of a program's metrics.
func counter(b *testing.B, operations, name string) int {
	b.Helper()
	resp, err := http.Get("http://" + operations + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		b.Fatal(err)
	}
	return numberAfter(b, string(data), name)
}
