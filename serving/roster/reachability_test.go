package roster_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

func entryIn(domain wire.DomainName, id string) *roster.Entry {
	e := entry(id, 1)
	e.Domain = domain
	return &e
}

func TestDomainIsUnreachableOnceTwoEndpointsAre(t *testing.T) {
	r := roster.NewReachability()
	r.MarkUnreachable(entryIn("b", "1"), start)
	r.MarkUnreachable(entryIn("b", "1"), start)
	if r.Unreachable(start)["b"] {
		t.Error("one unreachable endpoint made its domain unreachable")
	}
	r.MarkUnreachable(entryIn("b", "2"), start)
	if !r.Unreachable(start)["b"] || r.Unreachable(start)["a"] {
		t.Error("domain b is not unreachable, or domain a is")
	}
	last := time.Duration(0)
	now := start
	for range 6 {
		pause := time.Duration(0)
		for r.Unreachable(now.Add(pause))["b"] {
			pause += 10 * time.Millisecond
		}
		if pause < last || pause > 2*time.Second {
			t.Errorf("paused for %v after %v", pause, last)
		}
		last, now = pause, now.Add(pause)
		r.MarkUnreachable(entryIn("b", "1"), now)
	}
	r.MarkReachable(entryIn("b", "3"))
	if r.Unreachable(now)["b"] {
		t.Error("a domain is unreachable although one of its endpoints answered")
	}
}

func TestFailuresFarApartDoNotMakeDomainUnreachable(t *testing.T) {
	r := roster.NewReachability()
	r.MarkUnreachable(entryIn("b", "1"), start)
	r.MarkUnreachable(entryIn("b", "2"), start.Add(3*time.Second))
	if r.Unreachable(start.Add(3 * time.Second))["b"] {
		t.Error("two failures 3 s apart made their domain unreachable")
	}
}
