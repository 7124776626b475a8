package metering

import (
	"context"
	"slices"
	"time"

	"cowslipshunt.example/shared/era"
	"cowslipshunt.example/wire"
)

// Peers are the other instances, which keep copies of counts that their owner has not written yet.
type Peers interface {
	// HandOff sends hand-offs to the peers.
	HandOff(list []Handoff)
}

// Writer stores the counts of one incarnation, and those that peers have handed off to it. Until its own counts are stored, it hands
// them off to peers, so that an instance that is killed loses few. It is not safe for concurrent use.
type Writer struct {
	table       Table
	counter     *Counter
	handoffs    *Handoffs
	peers       Peers
	instance    wire.InstanceName
	incarnation wire.IncarnationId
	// failing is set while the last write failed. Hand-offs are then written by Step only.
	failing bool
	// tableEra returns the era of the table's last answer; era is the one to which everything was written.
	tableEra func() era.Era
	era      era.Era
	// mayRestore reports whether the table may be restored to an older state.
	mayRestore func() bool
	copies     *FrozenCopies
}

// NewWriter returns a Writer of the counts of one incarnation of an instance.
func NewWriter(t Table, c *Counter, h *Handoffs, p Peers, instance wire.InstanceName, incarnation wire.IncarnationId, opts ...WriterOption) *Writer {
	w := &Writer{table: t, counter: c, handoffs: h, peers: p, instance: instance, incarnation: incarnation,
		tableEra: func() era.Era { return 0 }, mayRestore: func() bool { return false }}
	for _, o := range opts {
		o(w)
	}
	return w
}

// Step writes the counts that have changed, and the hand-offs whose owners cannot write them. It returns the hand-offs that it
// stored. After an error some counts are not written yet; a peer is asked to write them.
func (w *Writer) Step(ctx context.Context, now time.Time) ([]Handoff, error) {
	w.observeEra(now)
	written, err := w.write(ctx, now)
	w.failing = err != nil
	list := w.withdraw(written)
	if err != nil {
		for _, x := range w.unwritten() {
			x.Failed = true
			list = append(list, x)
		}
	}
	w.handOff(list)
	return written, err
}

// Copy hands the counts that are not written off to peers. Unless the last write failed, it also writes the hand-offs whose owners cannot
// write them, and returns those. It is called every CopyInterval between the calls of Step, and acts like Step if no reporter knows of the
// incarnation's counts yet.
func (w *Writer) Copy(ctx context.Context, now time.Time) ([]Handoff, error) {
	if w.observeEra(now) || !w.failing && w.counter.isUnknown() {
		return w.Step(ctx, now)
	}
	var written []Handoff
	var err error
	if !w.failing {
		written, err = w.handoffs.Write(ctx, w.table, now)
		w.failing = err != nil
	}
	w.handOff(append(w.withdraw(written), w.unwritten()...))
	return written, err
}

// unwritten returns hand-offs of the own counts that are not written.
func (w *Writer) unwritten() []Handoff {
	list := w.counter.HandOff(w.instance, w.incarnation)
	for i := range list {
		list[i].Final = w.counter.hasFinished()
	}
	return list
}

// withdraw returns the withdrawals of own counts that are written and of the hand-offs that were written now.
func (w *Writer) withdraw(written []Handoff) []Handoff {
	list := w.counter.Withdraw(w.instance, w.incarnation)
	for _, x := range written {
		list = append(list, x.withdrawn())
	}
	return list
}

// Close writes for the last time, and marks the incarnation as ended. If that fails, it hands everything off to peers, including the
// hand-offs that it keeps for others.
func (w *Writer) Close(ctx context.Context, now time.Time) error {
	w.counter.Finish()
	if w.mayRestore() {
		// The peers keep the withdrawn copies for the case that the store loses what was written lately and what is written now.
		w.handOff(slices.Concat(w.counter.copies(w.instance, w.incarnation), w.handoffs.copies(now), w.unwritten()))
	}
	written, err := w.write(ctx, now)
	list := w.withdraw(written)
	if err != nil {
		list = append(append(list, w.unwritten()...), w.handoffs.All()...)
	}
	w.handOff(list)
	return err
}

// write stores the hand-offs before the instance's own counts, as Handoffs.Write requires.
func (w *Writer) write(ctx context.Context, now time.Time) ([]Handoff, error) {
	if err := w.restore(ctx, now); err != nil {
		return nil, err
	}
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
