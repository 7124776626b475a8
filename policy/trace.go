package main

import (
	"math/rand/v2"
	"time"
)

// domains is the number of failure domains, the same as in both customers' deployments.
const domains = 3

// mix is a kind of conversation. All ranges are in tokens, except turns.
type mix struct {
	shared  intRange // a prefix that all conversations of a workspace share
	history intRange // what a conversation starts with
	added   intRange // what each turn adds to the prompt
	output  intRange
	turns   intRange
}

// intRange is a range of integers, both ends included.
type intRange struct{ low, high int }

func (r intRange) sample(rng *rand.Rand) int {
	return r.low + rng.IntN(r.high-r.low+1)
}

// quotes has long histories that every turn sends again, and short answers; drafts has short prompts and long answers.
var (
	quotes = mix{history: intRange{2000, 12000}, added: intRange{40, 300}, output: intRange{40, 160}, turns: intRange{3, 8}}
	drafts = mix{shared: intRange{400, 400}, history: intRange{100, 900}, added: intRange{30, 120}, output: intRange{300, 900}, turns: intRange{1, 3}}
)

// trace is a load over time on a fleet of a given size.
type trace struct {
	name       string
	engines    int
	length     time.Duration
	rate       func(at time.Duration) (quotes, drafts float64) // conversations per second
	shares     []float64                                       // weights of the workspaces in the load
	lossAt     time.Duration                                   // when the last domain's engines crash; 0 means never
	recoveryAt time.Duration
	noticeLag  time.Duration // from the loss until the entries' lists drop the engines
}

// Lengths of the traces, the mean pause between a conversation's turns, and the delay until entries learn of a loss.
const (
	traceLength = 120 * time.Second
	swingLength = 240 * time.Second
	thinkMean   = 6 * time.Second
	noticeLag   = 5 * time.Second
)

// Load by workspace, for eight workspaces: a few large ones; all equal; the first with ten times the load of each other.
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
		{name: "loss", engines: 9, length: traceLength, shares: fewLarge, rate: steady(3.6, 0), lossAt: traceLength / 3, recoveryAt: traceLength * 2 / 3, noticeLag: noticeLag},
	}
}

func steady(quotes, drafts float64) func(time.Duration) (float64, float64) {
	return func(time.Duration) (float64, float64) { return quotes, drafts }
}

// swing changes the load linearly from quotes to drafts and back within swingLength.
func swing(quotes, drafts float64) func(time.Duration) (float64, float64) {
	return func(at time.Duration) (float64, float64) {
		part := 2 * float64(at) / float64(swingLength)
		if part > 1 {
			part = 2 - part
		}
		return quotes * (1 - part), drafts * part
	}
}

// conversation is a caller's sequence of turns over one growing prompt. It has its own random generator, so that all variants
// get the same requests.
type conversation struct {
	id           uint64
	workspace    int
	mix          mix
	rng          *rand.Rand
	turnsLeft    int
	sharedTokens int
	promptTokens int
}

func newConversation(id uint64, workspace int, m mix, rng *rand.Rand) *conversation {
	c := &conversation{id: id, workspace: workspace, mix: m, rng: rng, turnsLeft: m.turns.sample(rng), sharedTokens: m.shared.sample(rng)}
	c.promptTokens = c.sharedTokens + m.history.sample(rng)
	return c
}

// blocks returns the ids of the prompt's full blocks of size tokens. Blocks within the shared prefix have the same ids in all
// conversations of the workspace.
func (c *conversation) blocks(size int) []blockID {
	list := make([]blockID, c.promptTokens/size)
	for i := range list {
		owner := c.id
		if (i+1)*size <= c.sharedTokens {
			owner = uint64(c.workspace)
		}
		list[i] = blockID(mixBits(owner<<20 | uint64(i)))
	}
	return list
}

// mixBits is a 64-bit hash finalizer; it spreads the differences between close numbers over all bits.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
