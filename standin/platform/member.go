package main

import (
	"time"

	"cowslipshunt.example/wire"
)

type memberPhase int

const (
	memberFree memberPhase = iota
	memberRunning
	memberLeaving
	memberVanished
)

// member is one endpoint of the pool.
type member struct {
	setting EndpointSetting
	phase   memberPhase
	// leavingSince is when the member last began to leave, or zero. Of the free members, the one that began to leave
	// first is started first.
	leavingSince time.Time
}

func newMember(e EndpointSetting) *member {
	m := &member{setting: e}
	if e.Ordered {
		m.phase = memberRunning
	}
	return m
}

func (m *member) listed() bool {
	return m.phase == memberRunning || m.phase == memberLeaving
}

func (m *member) leave(now time.Time) {
	m.phase = memberLeaving
	m.leavingSince = now
}

func (m *member) freeAfterLeaving(now time.Time) {
	if m.phase == memberLeaving && now.Sub(m.leavingSince) >= LeaveTime {
		m.phase = memberFree
	}
}

func (m *member) record() wire.EndpointRecord {
	return wire.EndpointRecord{
		Endpoint: m.setting.Endpoint,
		Domain:   m.setting.Domain,
		Kind:     m.setting.Kind,
		Address:  m.setting.Address,
		Leaving:  m.phase == memberLeaving,
	}
}
