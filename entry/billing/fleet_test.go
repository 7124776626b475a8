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

// inFlightMessage is a message in flight between two entries.
type inFlightMessage struct {
	from, to wire.Hello
	topic    string
	payload  []byte
}

// fleet is the recorders of a failure domain, run step by step with a table and links that fail. members has nil for an instance
// that was killed; cutLinks contains the pairs of instances whose link is cut.
type fleet struct {
	clock    *clockwork.FakeClock
	table    *tabletest.Table
	names    []wire.InstanceName
	members  map[wire.InstanceName]*member
	cutLinks map[[2]wire.InstanceName]bool
	inFlight []inFlightMessage
	started  int
}

// member is an incarnation with its recorder, and the requests that were recorded there.
type member struct {
	fleet    *fleet
	hello    wire.Hello
	recorder *Recorder
	// recordedAt has, at index n-1, the number of requests of each workspace that were recorded up to sequence number n.
	recordedAt []map[wire.WorkspaceName]int
}

func newFleet(names ...wire.InstanceName) *fleet {
	f := &fleet{
		clock:    clockwork.NewFakeClock(),
		table:    tabletest.New(),
		names:    names,
		members:  map[wire.InstanceName]*member{},
		cutLinks: map[[2]wire.InstanceName]bool{},
	}
	for _, name := range names {
		f.start(name)
	}
	return f
}

// start replaces an instance by a new incarnation.
func (f *fleet) start(name wire.InstanceName) *member {
	f.started++
	self := wire.Hello{Instance: name, Domain: "d", Program: wire.ProgramEntry, Incarnation: wire.IncarnationId(fmt.Sprintf("%s/%d", name, f.started))}
	m := &member{fleet: f, hello: self}
	m.recorder = newRecorder(self, f.table, m, f.clock, process.NewLogger(io.Discard, "error", "test", string(name)))
	f.members[name] = m
	return m
}

// Links returns the running peers whose link is not cut.
func (m *member) Links() []wire.Hello {
	var list []wire.Hello
	for _, name := range m.fleet.names {
		other := m.fleet.members[name]
		if name != m.hello.Instance && other != nil && !m.fleet.linkCut(m.hello.Instance, name) {
			list = append(list, other.hello)
		}
	}
	return list
}

// Publish queues each message for delivery to the linked peer to which it is addressed, or to all linked peers.
func (m *member) Publish(topic string, messages ...*message.Message) error {
	for _, msg := range messages {
		for _, hello := range m.Links() {
			if to := msg.Metadata.Get("To"); to == "" || to == string(hello.Instance) {
				m.fleet.inFlight = append(m.fleet.inFlight, inFlightMessage{from: m.hello, to: hello, topic: topic, payload: msg.Payload})
			}
		}
	}
	return nil
}

// Close does nothing.
func (m *member) Close() error {
	return nil
}

func (f *fleet) linkCut(a, b wire.InstanceName) bool {
	return f.cutLinks[[2]wire.InstanceName{min(a, b), max(a, b)}]
}

// deliver delivers the i-th message in flight. A message to an incarnation that no longer runs is lost.
func (f *fleet) deliver(i int) error {
	msg := f.inFlight[i]
	f.inFlight = append(f.inFlight[:i:i], f.inFlight[i+1:]...)
	m := f.members[msg.to.Instance]
	if m == nil || m.hello != msg.to {
		return nil
	}
	switch msg.topic {
	case TopicTotals:
		return decodeAndHandle(msg, m.recorder.handleTotals)
	case TopicHeld:
		return decodeAndHandle(msg, m.recorder.handleHeld)
	}
	return decodeAndHandle(msg, m.recorder.handleStored)
}

// decodeAndHandle decodes a message and passes it to its handler.
func decodeAndHandle[T any](msg inFlightMessage, handle func(context.Context, wire.InstanceName, T) error) error {
	v, err := channel.Decode[T](msg.payload)
	if err != nil {
		return err
	}
	return handle(context.Background(), msg.from.Instance, v)
}

// record adds a request to the recorder's totals and to the expected sums.
func (m *member) record(workspace wire.WorkspaceName) {
	sums := map[wire.WorkspaceName]int{}
	if len(m.recordedAt) > 0 {
		for name, n := range m.recordedAt[len(m.recordedAt)-1] {
			sums[name] = n
		}
	}
	sums[workspace]++
	m.recordedAt = append(m.recordedAt, sums)
	m.recorder.meter.Add(wire.UsageFigure{Workspace: workspace, Model: "m", Requests: 1, Cost: 7})
}

// answered returns the number of requests of each workspace whose answers may have ended because a peer or the table had their
// figures.
func (m *member) answered() map[wire.WorkspaceName]int {
	if m.recorder.safeSequence == 0 {
		return nil
	}
	return m.recordedAt[m.recorder.safeSequence-1]
}

// stored returns an incarnation's totals in the table.
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

// copies returns an incarnation's totals as each running instance has them in memory.
func (f *fleet) copies(incarnation wire.IncarnationId) []wire.UsageTotals {
	var list []wire.UsageTotals
	for _, name := range f.names {
		m := f.members[name]
		switch {
		case m == nil:
		case m.hello.Incarnation == incarnation:
			list = append(list, m.recorder.meter.Since(0))
		default:
			list = append(list, m.peerTotalsOf(incarnation)...)
		}
	}
	return list
}

// peerTotalsOf returns the totals that a member holds for another member's incarnation. The list has at most one element.
func (m *member) peerTotalsOf(incarnation wire.IncarnationId) []wire.UsageTotals {
	var list []wire.UsageTotals
	for _, name := range m.fleet.names {
		for _, totals := range m.recorder.peerTotals.ForInstance(name) {
			if totals.Incarnation == incarnation {
				list = append(list, totals)
			}
		}
	}
	return list
}

// requests returns the number of a workspace's requests in totals.
func requests(totals wire.UsageTotals, workspace wire.WorkspaceName) int {
	for _, f := range totals.Figures {
		if f.Workspace == workspace {
			return f.Requests
		}
	}
	return 0
}
