package endpoint

import (
	"sync"

	"cowslipshunt.example/shared/piece"
)

// rememberedKeys bounds each of the two generations that a memory holds.
const rememberedKeys = 256

// memory holds the keys of the prompts that this entry lately sent to an endpoint, as a guess of what its prefix cache
// holds. Keys that are not used while a generation fills up are forgotten.
type memory struct {
	mu           sync.Mutex
	newer, older map[piece.Key]struct{}
}

// match counts the leading keys that are remembered.
func (m *memory) match(keys []piece.Key) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for n, key := range keys {
		if !m.holds(key) {
			return n
		}
	}
	return len(keys)
}

func (m *memory) holds(key piece.Key) bool {
	if _, held := m.newer[key]; held {
		return true
	}
	_, held := m.older[key]
	return held
}

// learn remembers a prompt's keys, the last first, so that the start of a prefix is forgotten behind its end.
func (m *memory) learn(keys []piece.Key) {
	m.mu.Lock()
	defer m.mu.Unlock()
	keys = keys[:min(len(keys), rememberedKeys)]
	for i := len(keys) - 1; i >= 0; i-- {
		m.add(keys[i])
	}
}

func (m *memory) add(key piece.Key) {
	if m.newer == nil || len(m.newer) >= rememberedKeys {
		m.newer, m.older = m.older, m.newer
		clear(m.newer)
	}
	if m.newer == nil {
		m.newer = map[piece.Key]struct{}{}
	}
	m.newer[key] = struct{}{}
}

// forget empties the memory.
func (m *memory) forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.newer)
	clear(m.older)
}

// size counts the keys held.
func (m *memory) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.newer) + len(m.older)
}
