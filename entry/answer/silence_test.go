package answer_test

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// silences are the places of an answer at which an engine falls silent: its tokens before that, or -1 before the head.
var silences = map[string]int{"before the head": -1, "before the first token": 0, "between tokens": 2}

// answerWithSilence sends an answer that pauses until ch is closed, and reports whether the entry waited for that.
func (c *engineCall) answerWithSilence(before int, ch <-chan struct{}) bool {
	if before >= 0 {
		c.head(http.StatusOK)
		c.tokens(0, before)
	}
	if !c.await(ch) {
		return false
	}
	if before < 0 {
		c.head(http.StatusOK)
	}
	c.tokens(max(before, 0), tokenCount)
	c.finish()
	return true
}

// failingSuccessors are the ways in which an engine does not take over the request of a silent one.
var failingSuccessors = map[string]func(c *engineCall){
	"rejects":         (*engineCall).reject,
	"refuses":         func(c *engineCall) { c.head(http.StatusBadRequest) },
	"fails":           func(c *engineCall) { c.head(http.StatusInternalServerError) },
	"breaks":          func(*engineCall) { panic(http.ErrAbortHandler) },
	"answers another": func(c *engineCall) { c.attempt = "9"; c.head(http.StatusOK) },
	"is silent too":   func(c *engineCall) { <-c.r.Context().Done() },
}

// TestSilentEngineIsKeptUntilAnotherAccepts guards against answers that are cut, or refused, as their engine is only silent for a moment and
// the engine that is asked next does not take the request over.
func TestSilentEngineIsKeptUntilAnotherAccepts(t *testing.T) {
	for place, before := range silences {
		for name, fail := range failingSuccessors {
			t.Run(place+"/"+name, func(t *testing.T) {
				t.Parallel()
				var once sync.Once
				goOn := make(chan struct{})
				s := newSystem(t, 3, 4, time.Second, func(c *engineCall) {
					if c.attempt == "1" {
						if !c.answerWithSilence(before, goOn) {
							t.Error("the engine was left before another one accepted")
						}
						return
					}
					once.Do(func() { close(goOn) })
					fail(c)
				})
				s.requireWhole(t)
			})
		}
	}
}

// TestSilentEngineIsKeptWithoutAnother guards against the same where no other engine can be asked at all.
func TestSilentEngineIsKeptWithoutAnother(t *testing.T) {
	for name, test := range map[string]struct {
		engines int
		prepare func(*system)
		reason  string
	}{
		"one engine":  {1, func(*system) {}, "there is no other"},
		"no budget":   {2, func(s *system) { s.server.SpendRetryBudget() }, "the retry budget is spent"},
		"no attempts": {5, func(*system) {}, "no attempt is left"},
	} {
		for place, before := range silences {
			t.Run(name+"/"+place, func(t *testing.T) {
				t.Parallel()
				var once sync.Once
				goOn := make(chan struct{})
				s := newSystem(t, test.engines, 4, time.Second, func(c *engineCall) {
					if c.attempt != "1" {
						c.reject()
						return
					}
					if !c.answerWithSilence(before, goOn) {
						t.Error("the engine was left although no other one could be asked")
					}
				})
				test.prepare(s)
				s.log.onLine = func(line string) {
					if strings.Contains(line, test.reason) {
						once.Do(func() { close(goOn) })
					}
				}
				s.requireWhole(t)
			})
		}
	}
}

// TestSilentEngineIsKeptWithoutFreeSlot guards against the same where the only other engine has no slot left.
func TestSilentEngineIsKeptWithoutFreeSlot(t *testing.T) {
	t.Parallel()
	var once sync.Once
	var calls atomic.Int64
	goOn, occupied, release := make(chan struct{}), make(chan struct{}), make(chan struct{})
	s := newSystem(t, 2, 1, stall, func(c *engineCall) {
		switch {
		case c.attempt != "1":
			c.answer()
		case calls.Add(1) == 1:
			close(occupied)
			c.answerWithSilence(0, release)
		case !c.answerWithSilence(2, goOn):
			t.Error("the engine was left without a free slot at another one")
		}
	})
	s.log.onLine = func(line string) {
		if strings.Contains(line, `"Delivered":2`) && strings.Contains(line, "no slot was free in time") {
			once.Do(func() { close(goOn) })
		}
	}
	var occupant sync.WaitGroup
	occupant.Go(func() { _, _ = s.stream(t) })
	<-occupied
	tokens, whole := s.stream(t)
	if len(tokens) != tokenCount || !whole {
		t.Errorf("got tokens %v, whole: %v", tokens, whole)
	}
	close(release)
	occupant.Wait()
}

// TestSilentEngineIsReplaced checks that another engine takes an answer over where it stopped, and that the silent one is then left.
func TestSilentEngineIsReplaced(t *testing.T) {
	for place, before := range silences {
		t.Run(place, func(t *testing.T) {
			t.Parallel()
			left := make(chan struct{})
			s := newSystem(t, 3, 4, time.Second, func(c *engineCall) {
				if c.attempt == "1" {
					if !c.answerWithSilence(before, nil) {
						close(left)
					}
					return
				}
				if c.resumed != max(before, 0) {
					t.Errorf("the next engine was given %d tokens", c.resumed)
				}
				c.answer()
			})
			s.requireWhole(t)
			<-left
		})
	}
}

// TestTokensComeOnceAsBothEnginesAnswer guards against tokens that come twice or not at all as the silent engine goes on while another one
// accepts the request.
func TestTokensComeOnceAsBothEnginesAnswer(t *testing.T) {
	t.Parallel()
	const requests = 40
	var goOn sync.Map
	s := newSystem(t, 12, 4, testTimeout, func(c *engineCall) {
		ch, _ := goOn.LoadOrStore(c.request, make(chan struct{}))
		if c.attempt == "1" {
			c.answerWithSilence(2, ch.(chan struct{}))
			return
		}
		if c.attempt == "2" {
			close(ch.(chan struct{}))
		}
		c.answer()
	})
	for range requests {
		s.requireWhole(t)
	}
}

// slowWriter blocks the first write of an answer's body for longer than the stall limit, and then closes written.
type slowWriter struct {
	http.ResponseWriter
	once    sync.Once
	written chan struct{}
}

func (w *slowWriter) Write(p []byte) (int, error) {
	w.once.Do(func() {
		<-time.After(5 * stall)
		close(w.written)
	})
	return w.ResponseWriter.Write(p)
}

func (w *slowWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// TestSlowCallerKeepsItsEngine guards against answers that are taken from an engine that was never silent: their caller is slow to take them.
func TestSlowCallerKeepsItsEngine(t *testing.T) {
	t.Parallel()
	var calls atomic.Int64
	written := make(chan struct{})
	s := newSystem(t, 2, 4, time.Second, func(c *engineCall) {
		calls.Add(1)
		c.answerWithSilence(1, written)
	})
	s.wrap = func(w http.ResponseWriter) http.ResponseWriter {
		return &slowWriter{ResponseWriter: w, written: written}
	}
	s.requireWhole(t)
	if n := calls.Load(); n != 1 {
		t.Errorf("the engines got %d requests", n)
	}
}

// TestHungRequestDoesNotKeepOthersFromTheEngine guards against an engine that gets no more requests, as one that it does not answer is waited
// for and takes the place of the probe after a failure.
func TestHungRequestDoesNotKeepOthersFromTheEngine(t *testing.T) {
	t.Parallel()
	var calls atomic.Int64
	waited, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	s := newSystem(t, 1, 4, time.Second, func(c *engineCall) {
		if calls.Add(1) == 1 {
			c.answerWithSilence(2, release)
			return
		}
		c.answer()
	})
	s.log.onLine = func(line string) {
		if strings.Contains(line, "there is no other") {
			once.Do(func() { close(waited) })
		}
	}
	var hung sync.WaitGroup
	hung.Go(func() { _, _ = s.stream(t) })
	<-waited
	for range 3 {
		if tokens, whole := s.stream(t); len(tokens) != tokenCount || !whole {
			t.Errorf("got tokens %v, whole: %v", tokens, whole)
		}
	}
	close(release)
	hung.Wait()
}
