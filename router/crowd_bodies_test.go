package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/platform/wire"
)

// crowdBodyBytes is how much of its body each connection of a crowd sends before it stops just short of the end.
const crowdBodyBytes = crowdMaxSent - 1<<16

// identifiedHead returns the request line and the fields of an ordinary request, without the end of the head.
func identifiedHead() string {
	h, fields := http.Header{}, strings.Builder{}
	platformtest.Identify(h, "crowd", "k")
	_ = h.Write(&fields)
	return "POST /a/b HTTP/1.1\r\nHost: h.example\r\n" + fields.String()
}

// shortFields returns fields of their own names that have a number of bytes together.
func shortFields(bytes int) string {
	var b strings.Builder
	for i := 0; b.Len() < bytes; i++ {
		b.WriteString(shortField(i))
	}
	return b.String()
}

// chunk returns a chunk of a body with a number of bytes.
func chunk(bytes int) string {
	return fmt.Sprintf("%x\r\n%s\r\n", bytes, strings.Repeat("a", bytes))
}

// TestCrowdOfBodiesStaysWithinMemory guards against processes that run out of memory over requests of legal heads whose bodies never end.
func TestCrowdOfBodiesStaysWithinMemory(t *testing.T) {
	head := identifiedHead()
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }
	times := func(n int, s string) func(int) string {
		return func(i int) string {
			if i < n {
				return s
			}
			return ""
		}
	}
	shortBodies := func(c *wire.Configuration) { c.Limits.MaxBodyBytes = crowdMaxSent / 8 }
	kilobyte := strings.Repeat("a", 1<<10)
	path := buildProgram(t)
	for _, crowd := range []struct {
		name, first string
		next        func(i int) string
		changes     []platformtest.Change
	}{
		{name: "many short fields and a body that stops short", first: head + shortFields(15<<10) + length(crowdBodyBytes+1), next: times(crowdBodyBytes>>10, kilobyte)},
		{name: "many short fields and chunks that stop short", first: head + shortFields(15<<10) + "Transfer-Encoding: chunked\r\n\r\n", next: times(crowdBodyBytes>>10, chunk(1<<10))},
		{name: "large chunks that stop short", first: chunked, next: times(crowdBodyBytes>>16, chunk(1<<16))},
		{name: "chunks of one byte that stop short", first: chunked, next: times(crowdBodyBytes/6, chunk(1))},
		{name: "announced body over the limit", first: head + length(1<<33), next: times(crowdMaxSent, kilobyte), changes: []platformtest.Change{shortBodies}},
		{name: "chunks over the limit", first: chunked, next: times(crowdMaxSent, chunk(1<<10)), changes: []platformtest.Change{shortBodies}},
	} {
		t.Run(crowd.name, func(t *testing.T) {
			p := startProgram(t, path, crowd.changes...)
			p.crowd(p.settings.CallerAddress, crowd.first, crowd.next)
		})
	}
}
