package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/shared/finding"
	"cowslipshunt.example/shared/setting"
	"cowslipshunt.example/wire"
)

// settings are the settings of one entry.
type settings struct {
	Instance wire.InstanceName
	Domain   wire.DomainName
	LogLevel string

	// Address is where callers connect.
	Address string
	// OperatorAddress serves the operators' interface.
	OperatorAddress string
	// PeerAddress serves peers and the holder of the domain lease.
	PeerAddress string
	// OperationsAddress serves metrics and health.
	OperationsAddress string
	// Platform is the platform's address.
	Platform string

	// PeerSecret is shared by all instances of the deployment. The peers' address rejects requests without it.
	PeerSecret channel.Secret
	Peer       []peerSettings
	Operator   []operatorSettings

	// MaxRequests bounds the requests in flight; zero means 4096.
	MaxRequests int
	// BodyMillis bounds the time to read a request's body.
	BodyMillis int
	// QueueMillis bounds a request's wait for an endpoint.
	QueueMillis int
	// StallMillis is how long an engine may be silent, or an endpoint of a service before its answer, until it is avoided and another
	// one is asked, if the request may be repeated.
	StallMillis int
	// WholeMillis bounds the time that a model request, or a service request with a claim, spends in the queue and at endpoints,
	// over all attempts. For other service requests, and for those that are forwarded to a peer, it bounds the wait for the header
	// of the response.
	WholeMillis int
	// ClaimMillis bounds the write of the claim for a request with an Idempotency-Key. The request is refused after it.
	ClaimMillis int
	// StoreMillis bounds the write of such a request's answer to the table. After it the answer is sent all the same.
	StoreMillis int
	// StoreTimeoutMillis bounds each call of the platform. Calls by the duties are also bounded by OrderTimeoutMillis.
	StoreTimeoutMillis int
	// StopMillis bounds a graceful shutdown.
	StopMillis int
	// NoDuties keeps the instance from competing for leases: it gives no orders to endpoints and reports no usage windows.
	NoDuties bool
	// LeaseTermMillis is how long a lease lasts without renewal. OrderTimeoutMillis bounds an order given under a lease, and
	// must be less.
	LeaseTermMillis    int
	OrderTimeoutMillis int
	// TickMillis is the interval at which each duty runs.
	TickMillis int
	// WindowSeconds is the length of a usage window.
	WindowSeconds int
	// LeaveMillis is how long the entry still accepts requests after it stopped being ready, so that the load balancer notices.
	LeaveMillis int
}

type peerSettings struct {
	Instance wire.InstanceName
	Domain   wire.DomainName
	Address  string
}

type operatorSettings struct {
	Name        string
	TokenDigest wire.Digest
}

// Defaults of settings that are zero.
const (
	defaultMaxRequests        = 4096
	defaultBodyMillis         = 10_000
	defaultQueueMillis        = 10_000
	defaultStallMillis        = 10_000
	defaultWholeMillis        = 600_000
	defaultClaimMillis        = 2_000
	defaultStoreMillis        = 1_000
	defaultStoreTimeoutMillis = 2_000
	defaultStopMillis         = 600_000
	defaultLeaveMillis        = 1_000
	defaultLeaseTermMillis    = 3_000
	defaultOrderTimeoutMillis = 1_000
	defaultTickMillis         = 250
	defaultWindowSeconds      = 60
)

// Check sets the defaults of numbers that are zero and returns all findings.
func (s *settings) Check(p *setting.Places) finding.List {
	c := &setting.Checks{Places: p}
	c.Required("Instance", string(s.Instance))
	c.Required("Domain", string(s.Domain))
	c.Level("LogLevel", s.LogLevel)
	c.Address("Address", s.Address)
	c.Address("OperatorAddress", s.OperatorAddress)
	c.Address("PeerAddress", s.PeerAddress)
	c.Address("OperationsAddress", s.OperationsAddress)
	c.Address("Platform", s.Platform)
	c.Secret("PeerSecret", string(s.PeerSecret), channel.MinSecretBytes)
	for i, peer := range s.Peer {
		c.Required(fmt.Sprintf("Peer[%d].Instance", i), string(peer.Instance))
		c.Required(fmt.Sprintf("Peer[%d].Domain", i), string(peer.Domain))
		c.Address(fmt.Sprintf("Peer[%d].Address", i), peer.Address)
		if peer.Instance == s.Instance {
			c.AddFinding(fmt.Sprintf("Peer[%d].Instance", i), "an instance cannot be its own peer")
		}
		if n := slices.IndexFunc(s.Peer, func(p peerSettings) bool { return p.Instance == peer.Instance }); n < i {
			c.AddFinding(fmt.Sprintf("Peer[%d].Instance", i), "%q is already listed as Peer[%d]", peer.Instance, n)
		}
	}
	for i, o := range s.Operator {
		c.Required(fmt.Sprintf("Operator[%d].Name", i), o.Name)
		if !strings.HasPrefix(string(o.TokenDigest), "sha256:") {
			c.AddFinding(fmt.Sprintf("Operator[%d].TokenDigest", i), "is not a digest that begins with sha256:")
		}
	}
	s.checkNumbers(c)
	return c.List
}

// checkNumbers rejects negative numbers and replaces zeros by their defaults.
func (s *settings) checkNumbers(c *setting.Checks) {
	numbers := []struct {
		field        string
		value        *int
		defaultValue int
	}{
		{"MaxRequests", &s.MaxRequests, defaultMaxRequests},
		{"BodyMillis", &s.BodyMillis, defaultBodyMillis},
		{"QueueMillis", &s.QueueMillis, defaultQueueMillis},
		{"StallMillis", &s.StallMillis, defaultStallMillis},
		{"WholeMillis", &s.WholeMillis, defaultWholeMillis},
		{"ClaimMillis", &s.ClaimMillis, defaultClaimMillis},
		{"StoreMillis", &s.StoreMillis, defaultStoreMillis},
		{"StoreTimeoutMillis", &s.StoreTimeoutMillis, defaultStoreTimeoutMillis},
		{"StopMillis", &s.StopMillis, defaultStopMillis},
		{"LeaveMillis", &s.LeaveMillis, defaultLeaveMillis},
		{"LeaseTermMillis", &s.LeaseTermMillis, defaultLeaseTermMillis},
		{"OrderTimeoutMillis", &s.OrderTimeoutMillis, defaultOrderTimeoutMillis},
		{"TickMillis", &s.TickMillis, defaultTickMillis},
		{"WindowSeconds", &s.WindowSeconds, defaultWindowSeconds},
	}
	for _, n := range numbers {
		if *n.value < 0 {
			c.AddFinding(n.field, "%d is negative", *n.value)
		}
		if *n.value == 0 {
			*n.value = n.defaultValue
		}
	}
	if s.OrderTimeoutMillis >= s.LeaseTermMillis {
		c.AddFinding("OrderTimeoutMillis", "%d is not less than LeaseTermMillis %d", s.OrderTimeoutMillis, s.LeaseTermMillis)
	}
}

func millis(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}
