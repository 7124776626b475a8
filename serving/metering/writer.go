package metering

import (
	"context"
	"time"

	"cowslipshunt.example/wire"
)

// Peers are the other instances, which keep copies of counts that their owner cannot write.
type Peers interface {
	// HandOff sends hand-offs to the peers.
	HandOff(list []Handoff)
}

// Writer stores the counts of one incarnation, and those that peers have handed off to it. While writes to the store fail, it
// hands its own counts off to peers, so that an instance that stops or crashes during an outage loses few. It is not safe for
// concurrent use.
type Writer struct {
	table       Table
	counter     *Counter
	handoffs    *Handoffs
	peers       Peers
	instance    wire.InstanceName
	incarnation wire.IncarnationId
}

// NewWriter returns a Writer of the counts of one incarnation of an instance.
func NewWriter(t Table, c *Counter, h *Handoffs, p Peers, instance wire.InstanceName, incarnation wire.IncarnationId) *Writer {
	return &Writer{table: t, counter: c, handoffs: h, peers: p, instance: instance, incarnation: incarnation}
}

// Step writes the counts that have changed, and the hand-offs whose owners cannot write them. It returns the hand-offs that it
// stored. After an error some counts are not written yet.
func (w *Writer) Step(ctx context.Context, now time.Time) ([]Handoff, error) {
	written, err := w.write(ctx, now)
	list := w.counter.Withdraw(w.instance, w.incarnation)
	for _, x := range written {
		list = append(list, x.withdrawn())
	}
	if err != nil {
		list = append(list, w.counter.HandOff(w.instance, w.incarnation, false)...)
	}
	w.handOff(list)
	return written, err
}

// Close writes for the last time. If that fails, it hands everything off to peers, including the hand-offs that it keeps for
// others.
func (w *Writer) Close(ctx context.Context, now time.Time) error {
	_, err := w.write(ctx, now)
	if err != nil {
		w.handOff(append(w.counter.HandOff(w.instance, w.incarnation, true), w.handoffs.All()...))
	}
	return err
}

// write stores the hand-offs before the instance's own counts, as Handoffs.Write requires.
func (w *Writer) write(ctx context.Context, now time.Time) ([]Handoff, error) {
	written, err := w.handoffs.Write(ctx, w.table, now)
	if err != nil {
		return written, err
	}
	return written, w.counter.Write(ctx, w.table, w.instance, w.incarnation)
}

func (w *Writer) handOff(list []Handoff) {
	if len(list) > 0 {
		w.peers.HandOff(list)
	}
}
