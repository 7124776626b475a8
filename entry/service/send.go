package service

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/link"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/shared/queue"
	"cowslipshunt.example/wire"
)

// serviceUnitsPerRequest is the service that the queue charges for a request to a plain service.
const serviceUnitsPerRequest queue.Service = 1

// send sends the request to an endpoint and returns the response with the slot, which the caller of send releases. A request
// whose route is not repeatable is sent again only if no byte of it was sent, or if the endpoint reports that it ran nothing.
func (s *Server) send(c *call) (*http.Response, *endpoint.Slot, *problem.Problem) {
	q := newInquiry(s, c)
	defer q.close()
	for {
		slot, err := s.acquireSlot(c.ctx, c, q.failed)
		if err != nil {
			return nil, nil, slotRefusal(err, q.mayHaveRun)
		}
		q.begin(slot)
		t, accepted := q.await()
		if accepted {
			return t.resp, t.slot, nil
		}
		if p := c.retryOrRefuse(q.attempts, q.mayHaveRun, t.notRun(), t.err); p != nil {
			return nil, nil, p
		}
	}
}

// retryOrRefuse returns nil if the request may be sent again after a failed attempt, or the refusal for the caller.
func (c *call) retryOrRefuse(attempt int, mayHaveRun, notRun bool, err error) *problem.Problem {
	mayRepeat := notRun || c.route.Repeatable
	if mayRepeat && attempt < maxAttempts && c.ctx.Err() == nil {
		return nil
	}
	outcome := outcomeOf(mayHaveRun)
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return problem.New(http.StatusGatewayTimeout, outcome, "the endpoint did not answer in time")
	}
	if mayHaveRun {
		return problem.New(http.StatusBadGateway, outcome, "the endpoint's answer was lost")
	}
	return problem.New(http.StatusServiceUnavailable, outcome, "no endpoint took the request").After(retryAfter)
}

// outcomeOf returns the outcome of a failed request: Unknown if an endpoint may have run it, NotRun otherwise.
func outcomeOf(mayHaveRun bool) problem.Outcome {
	if mayHaveRun {
		return problem.Unknown
	}
	return problem.NotRun
}

// slotRefusal returns the refusal for a request that got no slot.
func slotRefusal(err error, mayHaveRun bool) *problem.Problem {
	status := http.StatusServiceUnavailable
	if errors.Is(err, queue.ErrFull) {
		status = http.StatusTooManyRequests
	}
	return problem.New(status, outcomeOf(mayHaveRun), "no endpoint was free in time").After(retryAfter)
}

// acquireSlot waits for a slot at an endpoint, for up to the queue limit. It prefers endpoints that have not failed this request.
func (s *Server) acquireSlot(ctx context.Context, c *call, failed []wire.EndpointId) (*endpoint.Slot, error) {
	ctx, cancel := context.WithTimeout(ctx, s.limits.Queue)
	defer cancel()
	w := c.admitted.Workspace
	request := queue.Request{Workspace: w.Name, Weight: w.Weight, Estimate: serviceUnitsPerRequest}
	request.Choose = func() *endpoint.Slot {
		endpoints := s.directory.View().Service(c.service)
		need := c.need()
		need.Excluded = failed
		if slot := endpoint.Choose(endpoints, need, s.clock.Now(), rng); slot != nil || len(failed) == 0 {
			return slot
		}
		return endpoint.Choose(endpoints, c.need(), s.clock.Now(), rng)
	}
	return s.queueFor(c).Acquire(ctx, request)
}

func (s *Server) queueFor(c *call) *queue.Queue {
	return s.queues.Get("service/" + string(c.service))
}

// wakeQueue serves the queue again after a slot was released.
func (s *Server) wakeQueue(c *call) {
	s.queueFor(c).Wake()
}

// sendTo sends the request to the endpoint of a slot. Only repeatable requests reuse connections, as net/http's transport may
// send a request again when a reused connection turns out to be closed.
func (s *Server) sendTo(ctx context.Context, c *call, slot *endpoint.Slot) (*http.Response, error) {
	target := url.URL{Scheme: "http", Host: slot.State().Address, Path: c.path, RawQuery: caller.QueryWithoutKey(c.r.URL.RawQuery, c.admitted.Key)}
	r, err := http.NewRequestWithContext(ctx, c.r.Method, target.String(), nil)
	if err != nil {
		return nil, err
	}
	r.Header = caller.ForwardableHeader(c.r.Header, c.admitted.Key)
	r.Header.Set(caller.HeaderRequest, string(c.admitted.ID))
	if c.admitted.Workspace.Name != "" {
		r.Header.Set(caller.HeaderWorkspace, string(c.admitted.Workspace.Name))
	}
	caller.SetNonReplayableBody(r, c.body)
	transport := s.singleUseTransport
	if c.route.Repeatable {
		transport = s.pooledTransport
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := link.CheckStatus(resp.StatusCode); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// rejectedNotRun reports whether an endpoint rejected a request and states that it ran nothing.
func rejectedNotRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(caller.HeaderOutcome) == string(problem.NotRun)
}

// copyResponse streams a response to the caller. If the body ends early, it aborts the caller's connection, so that the caller
// cannot mistake the partial answer for a complete one.
func (s *Server) copyResponse(w http.ResponseWriter, c *call, resp *http.Response) {
	copyHeader(w, resp)
	err := caller.Stream(w, resp.Body)
	if err == nil {
		answersPassed.Inc()
		return
	}
	answersTruncated.Inc()
	if !errors.Is(err, caller.ErrCallerDisconnected) {
		c.admitted.Log.Warn().Err(err).Msg("answer truncated; aborting the caller's connection")
	}
	panic(http.ErrAbortHandler)
}

// copyHeader copies the status and header of a response, but keeps the request id that is already set.
func copyHeader(w http.ResponseWriter, resp *http.Response) {
	requestID := w.Header().Get(caller.HeaderRequest)
	for name, values := range caller.ForwardableHeader(resp.Header, "") {
		w.Header()[name] = values
	}
	w.Header().Set(caller.HeaderRequest, requestID)
	w.WriteHeader(resp.StatusCode)
}

var rng = endpoint.NewRandom()
