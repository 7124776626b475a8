package billing

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/shared/tabletest"
	"cowslipshunt.example/wire"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/jonboulle/clockwork"
)

// post is one message on its way between two entries.
type post struct {
	from, to wire.Hello
	topic    string
	payload  []byte
}

// fleet is a failure domain's recorders, run step by step on a table and links that fail.
type fleet struct {
	clock   *clockwork.FakeClock
	table   *tabletest.Table
	names   []wire.InstanceName
	members map[wire.InstanceName]*recording
	unlinks map[[2]wire.InstanceName]bool
	posts   []post
	started int
}

// recording is one incarnation's recorder and what its callers were answered.
type recording struct {
	fleet    *fleet
	hello    wire.Hello
	recorder *Recorder
	// ends holds, for each sequence number from 1, what had been recorded by then.
	ends []map[wire.WorkspaceName]int
}

func newFleet(names ...wire.InstanceName) *fleet {
	f := &fleet{
		clock:   clockwork.NewFakeClock(),
		table:   tabletest.New(),
		names:   names,
		members: map[wire.InstanceName]*recording{},
		unlinks: map[[2]wire.InstanceName]bool{},
	}
	for _, name := range names {
		f.start(name)
	}
	return f
}

// start runs a new incarnation of an instance.
func (f *fleet) start(name wire.InstanceName) *recording {
	f.started++
	self := wire.Hello{Instance: name, Domain: "d", Program: wire.ProgramEntry, Incarnation: wire.IncarnationId(fmt.Sprintf("%s/%d", name, f.started))}
	m := &recording{fleet: f, hello: self}
	m.recorder = newRecorder(self, f.table, m, f.clock, process.NewLogger(io.Discard, "error", "test", string(name)))
	f.members[name] = m
	return m
}

// Links returns the peers that run and are not cut off.
func (m *recording) Links() []wire.Hello {
	var list []wire.Hello
	for _, name := range m.fleet.names {
		other := m.fleet.members[name]
		if name != m.hello.Instance && other != nil && !m.fleet.unlinked(m.hello.Instance, name) {
			list = append(list, other.hello)
		}
	}
	return list
}

// Publish puts messages on their way.
func (m *recording) Publish(topic string, messages ...*message.Message) error {
	for _, msg := range messages {
		for _, hello := range m.Links() {
			if to := msg.Metadata.Get("To"); to == "" || to == string(hello.Instance) {
				m.fleet.posts = append(m.fleet.posts, post{from: m.hello, to: hello, topic: topic, payload: msg.Payload})
			}
		}
	}
	return nil
}

// Close does nothing.
func (m *recording) Close() error {
	return nil
}

func (f *fleet) unlinked(a, b wire.InstanceName) bool {
	return f.unlinks[[2]wire.InstanceName{min(a, b), max(a, b)}]
}

// deliver hands the i-th message over. One to an incarnation that is gone is lost.
func (f *fleet) deliver(i int) error {
	p := f.posts[i]
	f.posts = append(f.posts[:i:i], f.posts[i+1:]...)
	m := f.members[p.to.Instance]
	if m == nil || m.hello != p.to {
		return nil
	}
	switch p.topic {
	case TopicTotals:
		return hand(p, m.recorder.takeTotals)
	case TopicHeld:
		return hand(p, m.recorder.takeHeld)
	}
	return hand(p, m.recorder.takeStored)
}

func hand[T any](p post, take func(context.Context, wire.InstanceName, T) error) error {
	v, err := channel.Decode[T](p.payload)
	if err != nil {
		return err
	}
	return take(context.Background(), p.from.Instance, v)
}

// record bills one request and keeps what was recorded with it.
func (m *recording) record(workspace wire.WorkspaceName) {
	sums := map[wire.WorkspaceName]int{}
	if len(m.ends) > 0 {
		for name, n := range m.ends[len(m.ends)-1] {
			sums[name] = n
		}
	}
	sums[workspace]++
	m.ends = append(m.ends, sums)
	m.recorder.meter.Add(wire.UsageFigure{Workspace: workspace, Model: "m", Requests: 1, Cost: 7})
}

// answered returns the counts of requests whose answers may have ended: a peer or the table had their figures.
func (m *recording) answered() map[wire.WorkspaceName]int {
	if m.recorder.safe == 0 {
		return nil
	}
	return m.ends[m.recorder.safe-1]
}

// stored returns what the table has of an incarnation.
func (f *fleet) stored(incarnation wire.IncarnationId) (wire.UsageTotals, error) {
	var row wire.UsageRow
	for _, r := range f.table.Rows(tableName, string(incarnation)) {
		if r.Key != string(incarnation) {
			continue
		}
		if err := json.Unmarshal(r.Value, &row); err != nil {
			return row.Totals, err
		}
	}
	return row.Totals, nil
}

// copies returns the figures that each living instance's memory has of an incarnation.
func (f *fleet) copies(incarnation wire.IncarnationId) []wire.UsageTotals {
	var list []wire.UsageTotals
	for _, name := range f.names {
		m := f.members[name]
		switch {
		case m == nil:
		case m.hello.Incarnation == incarnation:
			list = append(list, m.recorder.meter.Since(0))
		default:
			list = append(list, m.heldOf(incarnation)...)
		}
	}
	return list
}

// heldOf returns what an instance holds of another's incarnation.
func (m *recording) heldOf(incarnation wire.IncarnationId) []wire.UsageTotals {
	var list []wire.UsageTotals
	for _, name := range m.fleet.names {
		for _, totals := range m.recorder.held.Of(name) {
			if totals.Incarnation == incarnation {
				list = append(list, totals)
			}
		}
	}
	return list
}

func requests(totals wire.UsageTotals, workspace wire.WorkspaceName) int {
	for _, f := range totals.Figures {
		if f.Workspace == workspace {
			return f.Requests
		}
	}
	return 0
}
