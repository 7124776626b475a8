package main

import (
	"cowslipshunt.example/shared/finding"
	"cowslipshunt.example/shared/setting"
	"cowslipshunt.example/wire"
)

// defaultLogLevel is the log level if the settings file has none.
const defaultLogLevel = "info"

// settings are a service's settings, read at start.
type settings struct {
	Address           string
	OperationsAddress string
	// Endpoint also serves as the instance name in the log.
	Endpoint wire.EndpointId
	LogLevel string
}

// Check returns all findings in the settings.
func (s *settings) Check(p *setting.Places) finding.List {
	c := setting.Checks{Places: p}
	c.Address("Address", s.Address)
	c.Address("OperationsAddress", s.OperationsAddress)
	c.Required("Endpoint", string(s.Endpoint))
	c.Level("LogLevel", s.LogLevel)
	return c.List
}
