// Package route holds the accepted configuration in the form that is read for each request.
package route

import (
	"time"

	"cowslipshunt.example/wire"
)

// Kind is the kind of a route's requests, which limits how often a request may run.
type Kind int

// The kinds of a route's requests.
const (
	// Once requests run at most once each time that a client sends them.
	Once Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a stream of events. They run at most once, unless the route is resumable.
	Stream
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	return [...]string{"Once", "Idempotent", "Stream"}[k]
}

// Version is the version of a configuration. Later configurations have higher versions.
type Version int64

// Route is one route of the configuration. It matches the requests to its host whose path begins with its prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable is set if a stream can be resumed at another endpoint after the last event that was received.
	Resumable bool
	// Timeout is the longest time from the arrival of a request until its deadline.
	Timeout time.Duration
	// Goal is the latency objective of an answer, or of the first event of a stream. An answer or event that is later
	// loses part of its value.
	Goal time.Duration
	// MaxPause is the longest time between two events of a stream that meets the route's objective.
	MaxPause time.Duration
	// Rank is the urgency of the route's requests; 0 is the most urgent.
	Rank int
	// Shares holds the services among which the route's requests are split.
	Shares []Share
	// MaxAttempts is how many times one request may run, each time at another endpoint.
	MaxAttempts int
	// Public is set if requests need no key.
	Public bool
}

// Share is a service's share of the requests of a route.
type Share struct {
	Service wire.ServiceName
	// Weight is relative to the sum of the weights of the route's shares.
	Weight float64
}

// Bounds of the time without an event after which the callers of streams give up, by the platform's protocol.
const (
	minPatience    = 2 * time.Second
	patienceGoals  = 4
	patiencePauses = 8
)

// Patience returns how long a caller of the route waits for the next event of a stream, also for the first one; 0 is no limit of its own.
func (r *Route) Patience() time.Duration {
	if r.Kind != Stream {
		return 0
	}
	return max(minPatience, patienceGoals*r.Goal, patiencePauses*r.MaxPause)
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// ChooseService returns the service for a random fraction from [0, 1), so that each is chosen in proportion to its weight. It
// returns an empty name if the route has no services.
func (r *Route) ChooseService(fraction float64) wire.ServiceName {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := fraction * total
	for _, s := range r.Shares {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is one service of the configuration.
type Service struct {
	Name wire.ServiceName
	// Engine is nil if the service's endpoints are not model engines.
	Engine *Engine
	// Scale is nil if the system does not set the service's number of endpoints.
	Scale *Scale
	// Contended is set by NewTable if requests compete for the service's engines: its streaming routes have objectives that differ by
	// contendedGoalRatio, or a workspace of the configuration has a quota.
	Contended bool
}

// contendedGoalRatio is the least ratio of the longest objective of a service's streaming routes to the shortest one at which the service is
// contended. A request can wait for a more urgent one without becoming late only if its objective leaves as much time again.
const contendedGoalRatio = 2

// Engine describes the model engines of a service.
type Engine struct {
	// BatchSize is how many requests an engine runs at the same time.
	BatchSize int
	// HandleLife is how long a prefill engine holds a KV cache that no other engine has fetched.
	HandleLife time.Duration
}

// Scale bounds the number of a service's endpoints that the system orders from the platform.
type Scale struct {
	// Min and Max bound the number of endpoints in each failure domain.
	Min, Max int
	// BootTime is the time from an order until the new endpoint accepts requests.
	BootTime time.Duration
	// SpotPrice is the price of a spot endpoint as a fraction of that of an on-demand one.
	SpotPrice float64
	// Prices holds the relative prices of the failure domains. A domain that is missing costs 1.
	Prices map[wire.DomainName]float64
}

// Workspace is one workspace of the configuration.
type Workspace struct {
	Name wire.WorkspaceName
	// Rank overrides the rank of the route if HasRank is set.
	Rank    int
	HasRank bool
	// Quota bounds what the workspace may request. The zero value is no bound.
	Quota Quota
}

// Unit is what a quota counts.
type Unit int

// The units of quotas.
const (
	Requests Unit = iota
	Tokens
)

// String returns the unit's name for logs.
func (u Unit) String() string {
	return [...]string{"Requests", "Tokens"}[u]
}

// Quota bounds the cost of a workspace's requests over all instances, in its unit.
type Quota struct {
	Unit Unit
	// Rate is the cost per second that the workspace may request; 0 is no limit.
	Rate float64
	// Burst is what the workspace may request at once after a time without requests.
	Burst float64
	// PlainCost is the cost of a request without token counts if the unit is Tokens.
	PlainCost float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool {
	return q.Rate > 0
}

// Limits bound the connections and requests of callers.
type Limits struct {
	// IdleTimeout is how long a caller's connection may stay idle before it is closed; 0 is no limit.
	IdleTimeout time.Duration
	// MaxBody is the maximum size of a request's body in bytes; 0 stands for a default.
	MaxBody int64
	// MaxHead is the maximum size of a request's head in bytes, HeadTimeout the longest time from its first byte to its last; 0 stands for
	// a default.
	MaxHead     int64
	HeadTimeout time.Duration
}
