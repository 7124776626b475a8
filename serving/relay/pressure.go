package relay

import (
	"slices"
	"sync/atomic"

	"cowslipshunt.example/serving/roster"
)

// peerRequestBytes is the least that each request of a peer counts at an endpoint, as reports have the number of requests but not their bytes:
// ordinary bodies have up to 100 KB.
const peerRequestBytes = 100_000

// WithEndpointBytes bounds the bytes of the requests of all instances that an endpoint holds at the same time.
func WithEndpointBytes(limit int64) Option {
	return func(r *Relay) {
		r.endpointBytes = limit
	}
}

// SetEndpointShare sets how many bytes this instance's requests may hold at an endpoint whatever its peers hold there. It has no effect without
// WithEndpointBytes.
func (r *Relay) SetEndpointShare(bytes int64) {
	r.endpointShare.Store(bytes)
}

// withRoom removes the endpoints from a list that hold too many bytes to be sent the request. Requests that choose at the same moment may exceed
// the bound together.
func (j *job) withRoom(list []*roster.Endpoint) []*roster.Endpoint {
	if j.relay.endpointBytes == 0 {
		return list
	}
	open := len(list)
	list = slices.DeleteFunc(list, func(e *roster.Endpoint) bool { return !j.relay.hasRoom(e, int64(len(j.request.Body))) })
	j.full = open > 0 && len(list) == 0
	return list
}

// noEndpointReason returns why no endpoint was chosen.
func (j *job) noEndpointReason() string {
	if j.full {
		return "each open endpoint holds as many bytes as it may"
	}
	return "no endpoint is open"
}

// hasRoom reports whether an endpoint may be sent a request of n bytes. One that holds none of this instance's requests takes any. Beyond the
// instance's share, the requests of its peers count as much as its own at that endpoint, but peerRequestBytes at least.
func (r *Relay) hasRoom(e *roster.Endpoint, n int64) bool {
	held := e.HeldBytes()
	if held <= 0 || held+n <= r.endpointShare.Load() {
		return true
	}
	own := int64(max(e.OwnInFlight(), 1))
	peers := int64(max(e.InFlight()-e.OwnInFlight(), 0))
	return held+n+peers*max(held/own, peerRequestBytes) <= r.endpointBytes
}

// hold counts the bytes of the request at an endpoint until the returned function is called the first time.
func (j *job) hold(e *roster.Endpoint, release func()) func() {
	if j.relay.endpointBytes == 0 {
		return release
	}
	n := len(j.request.Body)
	e.Hold(n)
	var done atomic.Bool
	return func() {
		if !done.Swap(true) {
			e.Hold(-n)
		}
		release()
	}
}

// Disconnecter is a caller whose connection can be ended while it is written to.
type Disconnecter interface {
	// Disconnect makes the write in progress fail.
	Disconnect()
}

// WatchedBody is the body of an answer that takes memory while its caller is written to. If memory is short, the caller may be disconnected.
type WatchedBody interface {
	// BeginWrite is called before a part of the answer is written to the caller, EndWrite once that has ended.
	BeginWrite(c Disconnecter)
	EndWrite()
}

// watchedWrite calls write, which writes a part of the answer to the caller.
func (j *job) watchedWrite(s *send, write func()) {
	body, watched := s.answer.Body.(WatchedBody)
	caller, can := j.caller.(Disconnecter)
	if watched && can {
		body.BeginWrite(caller)
		defer body.EndWrite()
	}
	write()
}
