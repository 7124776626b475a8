package metering

import (
	"context"
	"time"

	"cowslipshunt.example/wire"
)

// Peers take copies of counts that their owner cannot write.
type Peers interface {
	HandOff(list []Handoff)
}

// Writer puts the counts of one incarnation into the store, and those that peers have handed off to it. While the store takes
// no writes it hands its own off, so that an instance that stops or dies meanwhile loses few. It is for one goroutine.
type Writer struct {
	table       Table
	counter     *Counter
	handoffs    *Handoffs
	peers       Peers
	instance    wire.InstanceName
	incarnation wire.IncarnationId
}

// NewWriter returns a writer of the counts of one incarnation of an instance.
func NewWriter(t Table, c *Counter, h *Handoffs, p Peers, instance wire.InstanceName, incarnation wire.IncarnationId) *Writer {
	return &Writer{table: t, counter: c, handoffs: h, peers: p, instance: instance, incarnation: incarnation}
}

// Step writes what has risen and returns the hand-offs of peers that it wrote. An error means that some is not written yet.
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

// Close writes for the last time. What the store does not take goes to peers, also what others have handed off to this one.
func (w *Writer) Close(ctx context.Context, now time.Time) error {
	_, err := w.write(ctx, now)
	if err != nil {
		w.handOff(append(w.counter.HandOff(w.instance, w.incarnation, true), w.handoffs.All()...))
	}
	return err
}

// write puts the hand-offs into the store before the instance's own counts.
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
