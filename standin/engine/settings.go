package main

import (
	"slices"
	"time"

	"cowslipshunt.example/shared/finding"
	"cowslipshunt.example/shared/setting"
	"cowslipshunt.example/wire"
)

// Defaults of optional settings.
const (
	defaultMaxRunning = 8
	defaultMaxWaiting = 64
	defaultLogLevel   = "info"
)

var roles = []wire.EngineRole{wire.EngineRoleMixed, wire.EngineRolePrefill, wire.EngineRoleDecode}

// settings are an engine's settings, read at start.
type settings struct {
	Address           string
	OperationsAddress string
	// Endpoint also serves as the instance name in the log.
	Endpoint      wire.EndpointId
	LogLevel      string
	ChecksFencing bool
	// Model is the model loaded at start; empty means none.
	Model                  wire.ModelName
	ModelVersion           wire.ModelVersion
	Role                   wire.EngineRole
	PrefillMicrosPerToken  int
	DecodeMicrosPerToken   int
	MaxRunning, MaxWaiting int
	// OrderMillis is how long the engine is unavailable while it loads a model or changes its role.
	OrderMillis    int
	LoadLagMillis  int
	EventLagMillis int
	// EventGapEvery drops each event whose sequence number is a multiple of it; zero drops none.
	EventGapEvery int
	// PieceTokens is the size of a prefix-cache block, in tokens.
	PieceTokens int
	// Pieces is the capacity of the prefix cache, in blocks.
	Pieces int
}

func defaultSettings() settings {
	return settings{
		LogLevel:   defaultLogLevel,
		Role:       wire.EngineRoleMixed,
		MaxRunning: defaultMaxRunning,
		MaxWaiting: defaultMaxWaiting,
	}
}

// Check returns all findings in the settings.
func (s *settings) Check(p *setting.Places) finding.List {
	c := setting.Checks{Places: p}
	c.Address("Address", s.Address)
	c.Address("OperationsAddress", s.OperationsAddress)
	c.Required("Endpoint", string(s.Endpoint))
	c.Level("LogLevel", s.LogLevel)
	if !slices.Contains(roles, s.Role) {
		c.AddFinding("Role", "%q is not one of %v", s.Role, roles)
	}
	if s.ModelVersion != "" && s.Model == "" {
		c.AddFinding("Model", "is missing, but ModelVersion is set")
	}
	s.checkNumbers(&c)
	return c.List
}

func (s *settings) checkNumbers(c *setting.Checks) {
	atLeast(c, "PrefillMicrosPerToken", s.PrefillMicrosPerToken, 0)
	atLeast(c, "DecodeMicrosPerToken", s.DecodeMicrosPerToken, 0)
	atLeast(c, "MaxRunning", s.MaxRunning, 1)
	atLeast(c, "MaxWaiting", s.MaxWaiting, 0)
	atLeast(c, "OrderMillis", s.OrderMillis, 0)
	atLeast(c, "LoadLagMillis", s.LoadLagMillis, 0)
	atLeast(c, "EventLagMillis", s.EventLagMillis, 0)
	atLeast(c, "EventGapEvery", s.EventGapEvery, 0)
	atLeast(c, "Pieces", s.Pieces, 0)
	atLeast(c, "PieceTokens", s.PieceTokens, min(1, s.Pieces))
}

func atLeast(c *setting.Checks, field string, value, least int) {
	if value < least {
		c.AddFinding(field, "%d is less than %d", value, least)
	}
}

func millis(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}

func micros(n int) time.Duration {
	return time.Duration(n) * time.Microsecond
}
