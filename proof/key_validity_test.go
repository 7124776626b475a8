package proof

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// How long keys of the first workspace stay valid without a confirmation, and the margin for polls and requests in flight.
const (
	keyValidSeconds = 2
	validityMargin  = time.Second
)

// submitValidity submits a document that limits the validity of the first workspace's keys.
func (s *system) submitValidity() {
	d := s.document()
	d.Workspace[0].KeyValidSeconds = keyValidSeconds
	s.submit(1, d)
}

// TestKeyStopsWithoutConfirmation isolates a domain from the table and then kills the peers that can still reach it. Before
// the kill all keys must work, as a peer confirms them. After it, keys with a limited validity must stop working when that
// has passed, although the domain's own entries are still connected over slow links; other keys must keep working.
func TestKeyStopsWithoutConfirmation(t *testing.T) {
	s := newReadySystem(t, twoDomainPlan())
	s.submitValidity()
	confirming, isolated := s.instances[:2], s.instances[2:]
	limited, unlimited := startKeepAliveCallers(isolated, testKey, listModels), startKeepAliveCallers(isolated, otherKey, listModels)
	waitMoreServed(t, "without a fault", 50, limited, unlimited)
	for _, m := range isolated {
		m.platformProxy.setMode(cut)
		m.peerProxy.setDelay(300 * time.Millisecond)
	}
	waitMoreServed(t, "while a peer reaches the table", 60, limited, unlimited)
	if n := refusals(limited); n > 0 {
		t.Errorf("%d requests were refused while the key could be confirmed", n)
	}
	started := time.Now()
	for _, m := range confirming {
		m.entry.kill()
	}
	for _, k := range limited {
		eventually(t, k.m.name+" refuses the key", func() bool { _, n := k.counts(); return n >= 10 })
	}
	took := lastSuccess(limited).Sub(started)
	if took > keyValidSeconds*time.Second+validityMargin {
		t.Errorf("keys valid for %d s without confirmation worked for %v", keyValidSeconds, took)
	}
	waitMoreServed(t, "keys without a validity", 20, unlimited)
	if n := refusals(unlimited); n > 0 {
		t.Errorf("%d requests with a key without a validity were refused", n)
	}
	for _, m := range isolated {
		m.platformProxy.setMode(pass)
	}
	healed := time.Now()
	waitMoreServed(t, "after healing", 20, limited, unlimited)
	for _, k := range slices.Concat(limited, unlimited) {
		k.stop(t)
	}
	t.Logf("keys valid for %d s: last success %v after the last peer was killed; served again within %v", keyValidSeconds, took, time.Since(healed))
}

// TestKeyWithdrawalNamesUnconfirmedDomains withdraws a key while one domain is isolated from the table and from all peers.
// The command must name that domain as unconfirmed, and the domain must refuse the key once it reaches the table again.
func TestKeyWithdrawalNamesUnconfirmedDomains(t *testing.T) {
	p := twoDomainPlan()
	p.entries = 1
	s := newReadySystem(t, p)
	connected, isolated := s.instances[0], s.instances[1]
	isolated.platformProxy.setMode(cut)
	for _, m := range s.instances {
		m.peerProxy.setMode(cut)
	}
	out, code := s.operate(connected, "key", "withdraw", "--workspace", testWorkspace, "--label", "proof", "--why", "key lost")
	if code != 0 || !strings.Contains(out, "in force in: a\n") || !strings.Contains(out, "not confirmed in: b;") {
		t.Errorf("withdraw: exit code %d\n%s", code, out)
	}
	if res := newCaller(testKey).chat(connected.address, "withdrawn", 1); res.outcome != "NotRun" {
		t.Errorf("%s served a withdrawn key: %d", connected.name, res.status)
	}
	if res := newCaller(testKey).chat(isolated.address, "withdrawal not received", 1); res.status != 200 {
		t.Errorf("%s should have kept serving: %d %s", isolated.name, res.status, res.body)
	}
	isolated.platformProxy.setMode(pass)
	healed := time.Now()
	eventually(t, isolated.name+" refuses the key", func() bool {
		return newCaller(testKey).chat(isolated.address, "withdrawn", 1).outcome == "NotRun"
	})
	if took := time.Since(healed); took > maxPropagation {
		t.Errorf("%s served the key for %v after healing", isolated.name, took)
	}
}

// waitMoreServed waits until every caller has had n more successes.
func waitMoreServed(t *testing.T, when string, n int, lists ...[]*keepAliveCaller) {
	t.Helper()
	all := slices.Concat(lists...)
	before := make([]int, len(all))
	for i, k := range all {
		before[i], _ = k.counts()
	}
	for i, k := range all {
		eventually(t, k.m.name+" serves "+when, func() bool { served, _ := k.counts(); return served >= before[i]+n })
	}
}

func refusals(list []*keepAliveCaller) int {
	sum := 0
	for _, k := range list {
		_, n := k.counts()
		sum += n
	}
	return sum
}

// lastSuccess returns the time of the last success of any of the callers, which may still be running.
func lastSuccess(list []*keepAliveCaller) time.Time {
	var last time.Time
	for _, k := range list {
		k.mu.Lock()
		if k.lastServed.After(last) {
			last = k.lastServed
		}
		k.mu.Unlock()
	}
	return last
}
