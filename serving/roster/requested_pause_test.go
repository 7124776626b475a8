package roster_test

import (
	"slices"
	"testing"
	"time"

	"cowslipshunt.example/serving/roster"
	"pgregory.net/rapid"
)

func newEndpoint(d *roster.Directory, id string, born int64) *roster.Endpoint {
	e := entry(id, born)
	d.Put(e)
	return d.View().All()[e.ID]
}

// TestOnlyTheEndOfARequestedPauseEndsIt guards against requests to an endpoint that asked for a pause: nothing that is known of it
// otherwise may end the pause early.
func TestOnlyTheEndOfARequestedPauseEndsIt(t *testing.T) {
	const pause = 4 * time.Second
	tests := []struct {
		name  string
		apply func(d *roster.Directory, e *roster.Endpoint)
	}{
		{"an older request succeeds", func(_ *roster.Directory, e *roster.Endpoint) { e.MarkRejected(start); e.MarkWorking() }},
		{"peers no longer avoid it", func(_ *roster.Directory, e *roster.Endpoint) { e.SetSuspected(true); e.SetSuspected(false) }},
		{"an older answer asked for less", func(_ *roster.Directory, e *roster.Endpoint) { e.MarkPauseRequested(start, time.Second) }},
		{"its row changes", func(d *roster.Directory, e *roster.Endpoint) {
			changed := *e.Entry()
			changed.Slots++
			d.Put(changed)
		}},
		{"its row disappears and returns", func(d *roster.Directory, _ *roster.Endpoint) { d.Remove("a", start); d.Put(entry("a", 1)) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := roster.NewDirectory()
			e := newEndpoint(d, "a", 1)
			e.MarkPauseRequested(start, pause)
			test.apply(d, e)
			last := start.Add(pause - time.Nanosecond)
			if _, admitted := d.View().All()["a"].Admit(last); admitted || isAvailable(d, "a", last) {
				t.Error("the endpoint gets requests before the end of the pause")
			}
			if !isAvailable(d, "a", start.Add(pause)) {
				t.Error("the endpoint is not available after the pause")
			}
		})
	}
}

// TestNewIncarnationAskedForNoPause guards against a restarted endpoint that gets no requests for the pause of the one before it.
func TestNewIncarnationAskedForNoPause(t *testing.T) {
	d := roster.NewDirectory()
	old := newEndpoint(d, "a", 1)
	old.MarkPauseRequested(start, time.Minute)
	e := newEndpoint(d, "a", start.UnixMilli()+1)
	old.MarkPauseRequested(start, time.Minute)
	if probe, admitted := e.Admit(start); !admitted || probe != (roster.Probe{}) || !e.Available(start) {
		t.Error("the new incarnation gets no requests, or a probe first")
	}
}

// TestOneProbeFollowsARequestedPause guards against all requests that wait for an endpoint returning to it at once after its pause.
func TestOneProbeFollowsARequestedPause(t *testing.T) {
	const pause = time.Second
	end := start.Add(pause)
	paused := func() *roster.Endpoint {
		e := newEndpoint(roster.NewDirectory(), "a", 1)
		e.MarkPauseRequested(start, pause)
		return e
	}
	admitted := func(e *roster.Endpoint, now time.Time) bool {
		available := e.Available(now)
		_, admitted := e.Admit(now)
		if available != admitted {
			t.Errorf("available is %v, admitted %v", available, admitted)
		}
		return admitted
	}
	e := paused()
	probe, _ := e.Admit(end)
	if admitted(e, end.Add(900*time.Millisecond)) {
		t.Error("a second request is sent while the probe has no answer")
	}
	if !probe.End(true) || !admitted(e, end) || !admitted(e, end) {
		t.Error("requests do not follow the probe that the endpoint accepted")
	}
	e = paused()
	probe, _ = e.Admit(end)
	if probe.End(false) || !admitted(e, end) || admitted(e, end) {
		t.Error("after a probe that failed there is not exactly one more")
	}
	e = paused()
	hung, _ := e.Admit(end)
	if next := end.Add(time.Second); !admitted(e, next) || admitted(e, next) {
		t.Error("a probe without an answer holds back the next for ever, or no longer one")
	}
	if hung.End(false); admitted(e, end.Add(time.Second)) {
		t.Error("the late end of a probe lets another follow the one after it")
	}
	e = paused()
	probe, _ = e.Admit(end)
	e.MarkPauseRequested(end, pause)
	if probe.End(true) || e.Available(end.Add(pause/2)) {
		t.Error("the answer to a probe ended a pause that was asked for after it was sent")
	}
}

// TestRepeatedRequestsForAPauseAreNewsOnce guards against a log line for each of a burst of answers.
func TestRepeatedRequestsForAPauseAreNewsOnce(t *testing.T) {
	e := newEndpoint(roster.NewDirectory(), "a", 1)
	news := 0
	for i := range 90 {
		if _, isNews := e.MarkPauseRequested(start.Add(time.Duration(i)*time.Millisecond), 2*time.Second); isNews {
			news++
		}
	}
	if until, _ := e.PauseRequested(start); news != 1 || !until.Equal(start.Add(2089*time.Millisecond)) {
		t.Errorf("%d answers were news; the pause ends at %v", news, until)
	}
	if _, isNews := e.MarkPauseRequested(start, time.Minute); !isNews {
		t.Error("a much longer pause was not news")
	}
}

// bornOf returns the start of the nth incarnation under an id. The second and third are listed late at times, the fourth before its start.
func bornOf(n int64) int64 {
	return start.UnixMilli() + (n-1)*3000
}

// TestPauseHoldsForTheIncarnationThatAsked guards against requests to an endpoint that started again under its id and asked for a pause before
// its first heartbeat, so that the answer seemed to be that of the earlier incarnation, and against a pause of the earlier one that the new one
// has not asked for.
func TestPauseHoldsForTheIncarnationThatAsked(t *testing.T) {
	const pause = 4 * time.Second
	born := start.UnixMilli()
	relist := map[string]func(d *roster.Directory){
		"its row changes": func(d *roster.Directory) { d.Put(entry("a", born)) },
		"its row disappears and returns": func(d *roster.Directory) {
			d.Remove("a", start)
			d.Put(entry("a", born))
		},
		"a peer says that it leaves": func(d *roster.Directory) {
			d.MarkLeaving(roster.Key{ID: "a", Born: born})
			d.Put(entry("a", born))
		},
	}
	for name, put := range relist {
		for asked, want := range map[time.Duration]bool{-time.Millisecond: false, 0: true, time.Second: true} {
			d := roster.NewDirectory()
			newEndpoint(d, "a", born-60_000).MarkPauseRequested(start.Add(asked), pause)
			put(d)
			e := d.View().All()["a"]
			until, lasts := e.PauseRequested(start.Add(pause - 2*time.Millisecond))
			if lasts != want || want && !until.Equal(start.Add(asked+pause)) {
				t.Errorf("%s, asked %v after its start: a pause %v until %v, want %v", name, asked, lasts, until, want)
			}
		}
	}
	d := roster.NewDirectory()
	old := newEndpoint(d, "a", born-60_000)
	old.MarkPauseRequested(start.Add(-time.Second), time.Hour)
	old.MarkPauseRequested(start.Add(time.Second), pause)
	if until, _ := newEndpoint(d, "a", born).PauseRequested(start); !until.Equal(start.Add(time.Second + pause)) {
		t.Errorf("the pause ends at %v, which the earlier incarnation has asked for", until)
	}
	if until, _ := newEndpoint(d, "b", born).PauseRequested(start); until.After(start) {
		t.Errorf("another endpoint has a pause until %v", until)
	}
}

// TestNoRequestIsSentInARequestedPause lets answers, failures, successes, rows, reports and time come in any order. No request may be sent
// to an incarnation in a pause that it asked for, whatever was chosen before, and also if it asked before it was listed, as it answered requests
// to an earlier incarnation under its id; after it one is sent before the others, unless it has had no
// answer for a second; one that has never asked gets all.
func TestNoRequestIsSentInARequestedPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := roster.NewDirectory()
		now := start
		seen := []*roster.Endpoint{newEndpoint(d, "a", bornOf(1))}
		type asking struct {
			key     roster.Key
			at, end time.Time
		}
		var asked []asking
		listed := map[roster.Key]bool{seen[0].Entry().Key: true}
		forbiddenUntil := map[roster.Key]time.Time{}
		unproved := map[roster.Key]bool{}
		type sent struct {
			probe roster.Probe
			key   roster.Key
			at    time.Time
		}
		var open []sent
		endpoint := func() *roster.Endpoint { return rapid.SampledFrom(seen).Draw(t, "endpoint") }
		t.Repeat(map[string]func(*rapid.T){
			"asks": func(t *rapid.T) {
				e, d := endpoint(), time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms"))*time.Millisecond
				e.MarkPauseRequested(now, d)
				k := e.Entry().Key
				if end := now.Add(d); end.After(forbiddenUntil[k]) {
					forbiddenUntil[k] = end
				}
				asked = append(asked, asking{key: k, at: now, end: now.Add(d)})
				unproved[k] = true
				for i := range open {
					if open[i].key == k {
						open[i].at = time.Time{} // Its answer proves nothing, and it holds nothing back.
					}
				}
			},
			"fails":    func(*rapid.T) { endpoint().MarkFailed(now) },
			"rejects":  func(*rapid.T) { endpoint().MarkRejected(now) },
			"succeeds": func(*rapid.T) { endpoint().MarkWorking() },
			"reports":  func(t *rapid.T) { endpoint().SetSuspected(rapid.Bool().Draw(t, "suspected")) },
			"row": func(t *rapid.T) {
				e := entry("a", bornOf(rapid.Int64Range(1, 4).Draw(t, "born")))
				for _, a := range asked {
					if listed[e.Key] || a.key.Born >= e.Born || a.at.UnixMilli() < e.Born {
						continue
					}
					unproved[e.Key] = true
					if a.end.After(forbiddenUntil[e.Key]) {
						forbiddenUntil[e.Key] = a.end
					}
				}
				listed[e.Key] = true
				e.Slots = rapid.IntRange(1, 3).Draw(t, "slots")
				d.Put(e)
				seen = append(seen, d.View().All()[e.ID])
			},
			"remove": func(*rapid.T) { d.Remove("a", now) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"send": func(t *rapid.T) {
				e := endpoint()
				k := e.Entry().Key
				probe, admitted := e.Admit(now)
				if !admitted && !unproved[k] {
					t.Fatalf("%+v asked for no pause and gets no request", k)
				}
				if !admitted {
					return
				}
				if now.Before(forbiddenUntil[k]) {
					t.Fatalf("a request was sent to %+v %v before the end of its pause", k, forbiddenUntil[k].Sub(now))
				}
				for _, s := range open {
					if unproved[k] && s.key == k && !s.at.IsZero() && now.Sub(s.at) < time.Second {
						t.Fatalf("a second request was sent to %+v %v after the probe, which has no answer", k, now.Sub(s.at))
					}
				}
				open = append(open, sent{probe: probe, key: k, at: now})
			},
			"answer": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "request")
				s := open[i]
				open = append(open[:i], open[i+1:]...)
				accepted := rapid.Bool().Draw(t, "accepted")
				s.probe.End(accepted)
				if accepted && !s.at.IsZero() {
					unproved[s.key] = false
					asked = slices.DeleteFunc(asked, func(a asking) bool { return a.key == s.key })
				}
			},
			"": func(t *rapid.T) {
				for _, e := range seen {
					if k := e.Entry().Key; e.Available(now) && now.Before(forbiddenUntil[k]) {
						t.Fatalf("%+v is available %v before the end of its pause", k, forbiddenUntil[k].Sub(now))
					}
				}
			},
		})
	})
}
