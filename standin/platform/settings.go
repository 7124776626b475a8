package main

import (
	"fmt"

	"cowslipshunt.example/shared/finding"
	"cowslipshunt.example/shared/setting"
	"cowslipshunt.example/wire"
)

// Defaults of optional settings.
const (
	defaultInstance             = "platform"
	defaultLogLevel             = "info"
	defaultInstancesLagMillis   = 500
	defaultWeightBytesPerSecond = 64 << 20
	defaultWeightBytes          = 1 << 20
)

// Settings are the settings of standin-platform, read at start.
type Settings struct {
	Address              string
	OperationsAddress    string
	Instance             string
	LogLevel             string
	InstancesLagMillis   int
	WeightBytesPerSecond int
	WeightBytes          int
	Endpoint             []EndpointSetting
}

// EndpointSetting is one endpoint of the pool.
type EndpointSetting struct {
	Endpoint wire.EndpointId
	Domain   wire.DomainName
	Kind     wire.EndpointKindName
	Address  string
	// Ordered reports whether the endpoint runs from the start, without an order.
	Ordered bool
}

// NewSettings returns the default settings.
func NewSettings() *Settings {
	return &Settings{
		Instance:             defaultInstance,
		LogLevel:             defaultLogLevel,
		InstancesLagMillis:   defaultInstancesLagMillis,
		WeightBytesPerSecond: defaultWeightBytesPerSecond,
		WeightBytes:          defaultWeightBytes,
	}
}

// Check returns all findings in the settings.
func (s *Settings) Check(p *setting.Places) finding.List {
	c := &setting.Checks{Places: p}
	c.Address("Address", s.Address)
	c.Address("OperationsAddress", s.OperationsAddress)
	c.Required("Instance", s.Instance)
	c.Level("LogLevel", s.LogLevel)
	atLeast(c, "InstancesLagMillis", s.InstancesLagMillis, 0)
	atLeast(c, "WeightBytesPerSecond", s.WeightBytesPerSecond, 1)
	atLeast(c, "WeightBytes", s.WeightBytes, 0)
	s.checkEndpoints(c)
	return c.List
}

func (s *Settings) checkEndpoints(c *setting.Checks) {
	firstIndex := map[wire.EndpointId]int{}
	for i, e := range s.Endpoint {
		field := fmt.Sprintf("Endpoint[%d]", i)
		e.check(c, field)
		if n, ok := firstIndex[e.Endpoint]; ok {
			c.AddFinding(field+".Endpoint", "%q is already the name of Endpoint[%d]", e.Endpoint, n)
			continue
		}
		firstIndex[e.Endpoint] = i
	}
}

func (e EndpointSetting) check(c *setting.Checks, field string) {
	c.Required(field+".Endpoint", string(e.Endpoint))
	c.Required(field+".Domain", string(e.Domain))
	c.Required(field+".Kind", string(e.Kind))
	c.Address(field+".Address", e.Address)
}

func atLeast(c *setting.Checks, field string, value, least int) {
	if value < least {
		c.AddFinding(field, "%d is less than %d", value, least)
	}
}
