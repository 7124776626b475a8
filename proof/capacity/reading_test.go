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

// resourceReading holds the CPU time and the bytes read and written by a process since its start, and its resident memory.
type resourceReading struct {
	at            time.Time
	cpu           time.Duration
	readBytes     int
	writtenBytes  int
	residentBytes int
}

// readResources reads a process's resource use from /proc. The bytes are those of all read and write calls, on sockets and to
// the log.
func (p *process) readResources(b *testing.B) resourceReading {
	b.Helper()
	root := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	r := resourceReading{at: time.Now()}
	tasks, err := filepath.Glob(root + "/task/*/schedstat")
	if err != nil || len(tasks) == 0 {
		b.Fatal("read scheduler statistics of the process:", err)
	}
	for _, task := range tasks {
		data, _ := os.ReadFile(task)
		if words := strings.Fields(string(data)); len(words) > 0 {
			n, _ := strconv.ParseInt(words[0], 10, 64)
			r.cpu += time.Duration(n)
		}
	}
	r.readBytes = procField(b, root+"/io", "rchar:")
	r.writtenBytes = procField(b, root+"/io", "wchar:")
	r.residentBytes = procField(b, root+"/status", "VmRSS:") << 10
	return r
}

// procField returns the number that follows a name in a file of /proc.
func procField(b *testing.B, file, name string) int {
	b.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		b.Fatal(err)
	}
	return numberAfter(b, string(data), name)
}

// numberAfter returns the number on the line whose first word is name.
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
	b.Fatalf("no value for %s", name)
	return 0
}

// metricValue returns the value of one of a program's metrics, rounded down to an integer.
func metricValue(b *testing.B, operations, name string) int {
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
