package main

import (
	"fmt"
	"time"

	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/shared/finding"
	"cowslipshunt.example/shared/setting"
	"cowslipshunt.example/wire"
)

// Defaults of settings that a file may leave out.
const (
	defaultLeaseTermMillis    = 3000
	defaultOrderTimeoutMillis = 1000
	defaultTickMillis         = 250
	defaultWindowSeconds      = 60
	defaultStoreTimeoutMillis = 1000
	defaultLogLevel           = "info"
)

// settings are a controller's start settings.
type settings struct {
	Instance wire.InstanceName
	Domain   wire.DomainName
	// Address is where /metrics, /healthz, /readyz and /status are served.
	Address string
	// Platform is the address of the platform's services.
	Platform string
	// PeerSecret is what all instances of the deployment share; entries refuse links without it.
	PeerSecret channel.Secret
	// Entry lists the entries of the domain.
	Entry              []entrySettings
	LogLevel           string
	LeaseTermMillis    int
	OrderTimeoutMillis int
	TickMillis         int
	WindowSeconds      int
	StoreTimeoutMillis int
}

// entrySettings name one entry and its address for control links.
type entrySettings struct {
	Instance wire.InstanceName
	Address  string
}

func defaultSettings() settings {
	return settings{
		LogLevel:           defaultLogLevel,
		LeaseTermMillis:    defaultLeaseTermMillis,
		OrderTimeoutMillis: defaultOrderTimeoutMillis,
		TickMillis:         defaultTickMillis,
		WindowSeconds:      defaultWindowSeconds,
		StoreTimeoutMillis: defaultStoreTimeoutMillis,
	}
}

// Check returns every finding.
func (s *settings) Check(p *setting.Places) finding.List {
	c := setting.Checks{Places: p}
	c.Required("Instance", string(s.Instance))
	c.Required("Domain", string(s.Domain))
	c.Address("Address", s.Address)
	c.Address("Platform", s.Platform)
	c.Secret("PeerSecret", string(s.PeerSecret), channel.MinSecretBytes)
	c.Level("LogLevel", s.LogLevel)
	s.checkEntries(&c)
	s.checkTimes(&c)
	return c.List
}

func (s *settings) checkEntries(c *setting.Checks) {
	first := map[wire.InstanceName]int{}
	for i, e := range s.Entry {
		field := fmt.Sprintf("Entry[%d]", i)
		c.Required(field+".Instance", string(e.Instance))
		c.Address(field+".Address", e.Address)
		if n, ok := first[e.Instance]; ok {
			c.Fail(field+".Instance", "%q is Entry[%d] already", e.Instance, n)
			continue
		}
		first[e.Instance] = i
	}
}

func (s *settings) checkTimes(c *setting.Checks) {
	positive(c, "LeaseTermMillis", s.LeaseTermMillis)
	positive(c, "OrderTimeoutMillis", s.OrderTimeoutMillis)
	positive(c, "TickMillis", s.TickMillis)
	positive(c, "WindowSeconds", s.WindowSeconds)
	positive(c, "StoreTimeoutMillis", s.StoreTimeoutMillis)
	if s.OrderTimeoutMillis >= s.LeaseTermMillis {
		c.Fail("OrderTimeoutMillis", "%d is not less than LeaseTermMillis %d", s.OrderTimeoutMillis, s.LeaseTermMillis)
	}
}

func positive(c *setting.Checks, field string, n int) {
	if n <= 0 {
		c.Fail(field, "%d is not greater than 0", n)
	}
}

func millis(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}
