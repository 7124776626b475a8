package service

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/shared/queue"
	"cowslipshunt.example/wire"
)

// serviceUnitsPerRequest is what a request to a plain service weighs in a queue.
const serviceUnitsPerRequest queue.Service = 1

// send passes the request to an endpoint and returns its answer with the slot still taken. A request that may not be
// repeated is sent again only if no byte of it left, or if the endpoint says that it ran nothing.
func (s *Server) send(c *call) (*http.Response, *endpoint.Slot, *problem.Problem) {
	reached := false
	var failed []wire.EndpointId
	for attempt := 1; ; attempt++ {
		e, err := s.acquireSlot(c, failed)
		if err != nil {
			return nil, nil, slotRefusal(err, reached)
		}
		answer, err := s.sendTo(c, e)
		if err == nil && !rejectedNotRun(answer) {
			e.Worked()
			return answer, e, nil
		}
		e.Release()
		s.wakeQueue(c)
		notRun := err == nil || caller.NeverSent(err)
		if err == nil {
			answer.Body.Close()
		} else {
			e.Failed(s.clock.Now())
		}
		reached = reached || !notRun
		c.visit.Log.Warn().Err(err).Str("Endpoint", string(e.State().Endpoint)).Bool("NotRun", notRun).Msg("attempt failed")
		if p := c.retryOrRefuse(attempt, reached, notRun, err); p != nil {
			return nil, nil, p
		}
		failed = append(failed, e.State().Endpoint)
	}
}

// retryOrRefuse returns the refusal if no further attempt may follow.
func (c *call) retryOrRefuse(attempt int, reached, notRun bool, err error) *problem.Problem {
	mayRepeat := notRun || c.route.Repeatable
	if mayRepeat && attempt < maxAttempts && c.ctx.Err() == nil {
		return nil
	}
	outcome := outcomeOf(reached)
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return problem.New(http.StatusGatewayTimeout, outcome, "the endpoint did not answer in time")
	}
	if reached {
		return problem.New(http.StatusBadGateway, outcome, "the endpoint's answer was lost")
	}
	return problem.New(http.StatusServiceUnavailable, outcome, "no endpoint took the request").After(retryAfter)
}

func outcomeOf(reached bool) problem.Outcome {
	if reached {
		return problem.Unknown
	}
	return problem.NotRun
}

func slotRefusal(err error, reached bool) *problem.Problem {
	status := http.StatusServiceUnavailable
	if errors.Is(err, queue.ErrFull) {
		status = http.StatusTooManyRequests
	}
	return problem.New(status, outcomeOf(reached), "no endpoint was free in time").After(retryAfter)
}

func (s *Server) acquireSlot(c *call, failed []wire.EndpointId) (*endpoint.Slot, error) {
	ctx, cancel := context.WithTimeout(c.ctx, s.limits.Queue)
	defer cancel()
	w := c.visit.Workspace
	request := queue.Request{Workspace: w.Name, Weight: w.Weight, Estimate: serviceUnitsPerRequest}
	request.Choose = func() *endpoint.Slot {
		list := s.directory.View().Service(c.service)
		need := c.need()
		need.Not = failed
		if e := endpoint.Choose(list, need, s.clock.Now(), rng); e != nil || len(failed) == 0 {
			return e
		}
		return endpoint.Choose(list, c.need(), s.clock.Now(), rng)
	}
	return s.queueFor(c).Acquire(ctx, request)
}

func (s *Server) queueFor(c *call) *queue.Queue {
	return s.queues.Get("service/" + string(c.service))
}

func (s *Server) wakeQueue(c *call) {
	s.queueFor(c).Wake()
}

func (s *Server) sendTo(c *call, e *endpoint.Slot) (*http.Response, error) {
	target := url.URL{Scheme: "http", Host: e.State().Address, Path: c.path, RawQuery: caller.CleanQuery(c.r.URL.RawQuery, c.visit.Key)}
	r, err := http.NewRequestWithContext(c.ctx, c.r.Method, target.String(), nil)
	if err != nil {
		return nil, err
	}
	r.Header = caller.CleanHeader(c.r.Header, c.visit.Key)
	r.Header.Set(caller.HeaderRequest, string(c.visit.ID))
	if c.visit.Workspace.Name != "" {
		r.Header.Set(caller.HeaderWorkspace, string(c.visit.Workspace.Name))
	}
	caller.SetOnceBody(r, c.body)
	if c.route.Repeatable {
		return s.pooledTransport.RoundTrip(r)
	}
	return s.onceTransport.RoundTrip(r)
}

func rejectedNotRun(answer *http.Response) bool {
	return answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get(caller.HeaderOutcome) == string(problem.NotRun)
}

// copyResponse passes an answer on. If its body ends early, the caller's connection is aborted, so that the answer cannot be taken
// for a whole one.
func (s *Server) copyResponse(w http.ResponseWriter, c *call, answer *http.Response) {
	copyHeader(w, answer)
	err := caller.Stream(w, answer.Body)
	if err == nil {
		answersPassed.Inc()
		return
	}
	answersTruncated.Inc()
	if !errors.Is(err, caller.ErrGone) {
		c.visit.Log.Warn().Err(err).Msg("answer cut")
	}
	panic(http.ErrAbortHandler)
}

func copyHeader(w http.ResponseWriter, answer *http.Response) {
	request := w.Header().Get(caller.HeaderRequest)
	for name, values := range caller.CleanHeader(answer.Header, "") {
		w.Header()[name] = values
	}
	w.Header().Set(caller.HeaderRequest, request)
	w.WriteHeader(answer.StatusCode)
}

var rng = endpoint.NewRandom()
