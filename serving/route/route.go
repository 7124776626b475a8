// Package route holds the accepted configuration in the form that the path of a request reads.
package route

import (
	"time"

	"cowslipshunt.example/wire"
)

// Kind says how often a request may run.
type Kind int

// The kinds of a route's requests.
const (
	// Once requests run at most once for each attempt of a client.
	Once Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events; they run once, unless the route is resumable.
	Stream
)

// String names the kind for logs.
func (k Kind) String() string {
	return [...]string{"Once", "Idempotent", "Stream"}[k]
}

// Version numbers the configurations; a later one is higher.
type Version int64

// Route is one route of the configuration.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another endpoint after their last event.
	Resumable bool
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Goal is the time within which an answer, or a stream's first event, earns its full worth.
	Goal time.Duration
	// MaxPause is the longest pause between events of a stream that is on time.
	MaxPause time.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// Shares are the services that serve the route, with their weights.
	Shares []Share
	// MaxAttempts is how many endpoints one request may run on.
	MaxAttempts int
	// Public routes need no key.
	Public bool
}

// Share is one service's part of a route.
type Share struct {
	Service wire.ServiceName
	Weight  float64
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a draw from [0, 1).
func (r *Route) Pick(draw float64) wire.ServiceName {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	left := draw * total
	for _, s := range r.Shares {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is one service of the configuration.
type Service struct {
	Name wire.ServiceName
	// Engine is nil for a plain service.
	Engine *Engine
	// Scale is nil if the number of endpoints is not the system's to order.
	Scale *Scale
}

// Engine describes the model engines of a service.
type Engine struct {
	// BatchSize is how many requests an engine runs at once.
	BatchSize int
	// HandleLife is how long an engine keeps a prefilled KV cache that nobody has taken.
	HandleLife time.Duration
}

// Scale bounds the endpoints that may be ordered in each failure domain.
type Scale struct {
	Min, Max int
	BootTime time.Duration
	// SpotPrice is the price of a spot endpoint as a fraction of a steady one's.
	SpotPrice float64
	// Prices weighs the failure domains; one that is not named costs 1.
	Prices map[wire.DomainName]float64
}

// Workspace is one workspace of the configuration.
type Workspace struct {
	Name wire.WorkspaceName
	// Rank goes before a route's rank if HasRank is set.
	Rank    int
	HasRank bool
}

// Limits bound what a caller may send.
type Limits struct {
	// IdleTimeout is how long a caller's connection may stay idle.
	IdleTimeout time.Duration
	// MaxBody is the longest body of a request, in bytes.
	MaxBody int64
}
