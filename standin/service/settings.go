package main

import (
	"cowslipshunt.example/shared/finding"
	"cowslipshunt.example/shared/setting"
	"cowslipshunt.example/wire"
)

// defaultLogLevel stands for a level that a file leaves out.
const defaultLogLevel = "info"

// settings are a service's start settings.
type settings struct {
	Address           string
	OperationsAddress string
	// Endpoint is also the instance in the log.
	Endpoint wire.EndpointId
	LogLevel string
}

// Check returns every finding.
func (s *settings) Check(p *setting.Places) finding.List {
	c := setting.Checks{Places: p}
	c.Address("Address", s.Address)
	c.Address("OperationsAddress", s.OperationsAddress)
	c.Required("Endpoint", string(s.Endpoint))
	c.Level("LogLevel", s.LogLevel)
	return c.List
}
