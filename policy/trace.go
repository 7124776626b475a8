package main

import (
	"math/rand/v2"
	"time"
)

// domains is how many failure domains both customers run.
const domains = 3

// mix is a kind of conversation. All numbers are tokens but for turns.
type mix struct {
	shared  between // a prefix that all conversations of a workspace share
	history between // what a conversation starts with
	added   between // what each turn adds to the prompt
	output  between
	turns   between
}

// between is a range to draw from, both ends included.
type between struct{ low, high int }

func (b between) draw(rng *rand.Rand) int {
	return b.low + rng.IntN(b.high-b.low+1)
}

// quotes reads full histories again and again; drafts writes long answers.
var (
	quotes = mix{history: between{2000, 12000}, added: between{40, 300}, output: between{40, 160}, turns: between{3, 8}}
	drafts = mix{shared: between{400, 400}, history: between{100, 900}, added: between{30, 120}, output: between{300, 900}, turns: between{1, 3}}
)

// trace is one load on one fleet.
type trace struct {
	name      string
	engines   int
	length    time.Duration
	rate      func(at time.Duration) (quotes, drafts float64) // conversations a second
	shares    []float64                                       // of the load, by workspace
	lostAt    time.Duration                                   // the last domain's engines vanish; zero is never
	backAt    time.Duration
	noticeLag time.Duration
}

// Times of the traces.
const (
	traceLength = 120 * time.Second
	swingLength = 240 * time.Second
	thinkMean   = 6 * time.Second
	noticeLag   = 5 * time.Second
)

// fewLarge is eight workspaces of which a few are large; greedy gives the first ten times the load of each other.
var (
	fewLarge = []float64{4, 3, 2, 1, 1, 1, 1, 1}
	even     = []float64{1, 1, 1, 1, 1, 1, 1, 1}
	greedy   = []float64{10, 1, 1, 1, 1, 1, 1, 1}
)

func traces() []trace {
	return []trace{
		{name: "quotes", engines: 9, length: traceLength, shares: fewLarge, rate: steady(4.8, 0)},
		{name: "busy-quotes", engines: 9, length: traceLength, shares: fewLarge, rate: steady(6, 0)},
		{name: "drafts", engines: 12, length: traceLength, shares: fewLarge, rate: steady(0, 6.5)},
		{name: "swing", engines: 9, length: swingLength, shares: fewLarge, rate: swing(4.8, 4.5)},
		{name: "greedy", engines: 9, length: traceLength, shares: greedy, rate: steady(7, 0)},
		{name: "flood", engines: 9, length: traceLength, shares: greedy, rate: steady(12, 0)},
		{name: "loss", engines: 9, length: traceLength, shares: fewLarge, rate: steady(3.6, 0), lostAt: traceLength / 3, backAt: traceLength * 2 / 3, noticeLag: noticeLag},
	}
}

func steady(quotes, drafts float64) func(time.Duration) (float64, float64) {
	return func(time.Duration) (float64, float64) { return quotes, drafts }
}

// swing goes from quotes to drafts and back.
func swing(quotes, drafts float64) func(time.Duration) (float64, float64) {
	return func(at time.Duration) (float64, float64) {
		part := 2 * float64(at) / float64(swingLength)
		if part > 1 {
			part = 2 - part
		}
		return quotes * (1 - part), drafts * part
	}
}

// conversation is one caller's turns over the same growing prompt. It draws from a generator of its own, so that a policy
// does not change what callers ask.
type conversation struct {
	id        uint64
	workspace int
	mix       mix
	rng       *rand.Rand
	turns     int
	shared    int
	prompt    int
}

func newConversation(id uint64, workspace int, m mix, rng *rand.Rand) *conversation {
	c := &conversation{id: id, workspace: workspace, mix: m, rng: rng, turns: m.turns.draw(rng), shared: m.shared.draw(rng)}
	c.prompt = c.shared + m.history.draw(rng)
	return c
}

// pieces names the prompt's pieces. Those of the shared part are the same in all conversations of the workspace.
func (c *conversation) pieces(size int) []pieceID {
	list := make([]pieceID, c.prompt/size)
	for i := range list {
		owner := c.id
		if (i+1)*size <= c.shared {
			owner = uint64(c.workspace)
		}
		list[i] = pieceID(mixBits(owner<<20 | uint64(i)))
	}
	return list
}

// mixBits spreads a number over all 64 bits.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
