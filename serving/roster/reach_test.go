package roster_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

func in(domain wire.DomainName, id string) *roster.Entry {
	e := entry(id, 1)
	e.Domain = domain
	return &e
}

func TestDomainIsCutOffOnceTwoOfItsEndpointsAreOutOfReach(t *testing.T) {
	r := roster.NewReach()
	r.Unreached(in("b", "1"), start)
	r.Unreached(in("b", "1"), start)
	if r.Cut(start)["b"] {
		t.Error("one endpoint out of reach cut its domain off")
	}
	r.Unreached(in("b", "2"), start)
	if !r.Cut(start)["b"] || r.Cut(start)["a"] {
		t.Error("the domain is not cut off, or another is")
	}
	last := time.Duration(0)
	now := start
	for range 6 {
		pause := time.Duration(0)
		for r.Cut(now.Add(pause))["b"] {
			pause += 10 * time.Millisecond
		}
		if pause < last || pause > 2*time.Second {
			t.Errorf("paused for %v after %v", pause, last)
		}
		last, now = pause, now.Add(pause)
		r.Unreached(in("b", "1"), now)
	}
	r.Reached(in("b", "3"))
	if r.Cut(now)["b"] {
		t.Error("a domain with an endpoint that answers is cut off")
	}
}

func TestFailuresFarApartAreNoCut(t *testing.T) {
	r := roster.NewReach()
	r.Unreached(in("b", "1"), start)
	r.Unreached(in("b", "2"), start.Add(3*time.Second))
	if r.Cut(start.Add(3 * time.Second))["b"] {
		t.Error("two crashes are taken for a cut")
	}
}
