package domain

import (
	"slices"

	"cowslipshunt.example/shared/fleet"
	"cowslipshunt.example/wire"
)

// send sends a control message while the lease is held.
func (w *Worker) send(to wire.InstanceName, topic string, v any) {
	if _, ok := w.keeper.Guard(0); ok {
		w.links.send(to, topic, v)
	}
}

// announce tells all entries what has changed, and newly linked ones everything.
func (w *Worker) announce(up []wire.InstanceName) {
	w.announceStates()
	w.announceDocument()
	for _, name := range up {
		w.greet(name)
	}
	for _, row := range w.book.Written() {
		if row.Endpoint != "" {
			w.send("", topicDrainBegin, wire.DrainBegin{Order: row.Order, Endpoint: row.Endpoint, Epoch: w.links.epoch})
		}
	}
}

func (w *Worker) announceStates() {
	if !w.book.Loaded() || w.endpoints == nil || w.accepted.document == nil {
		return
	}
	states := fleet.States(w.view(w.last))
	if w.sequence > 0 && slices.Equal(states, w.announced) {
		return
	}
	w.sequence++
	w.announced = states
	w.send("", topicEndpointStates, w.states())
}

func (w *Worker) states() wire.EndpointStates {
	return wire.EndpointStates{
		Domain:    w.cfg.Self.Domain,
		Epoch:     w.links.epoch,
		Sequence:  w.sequence,
		Endpoints: w.announced,
	}
}

func (w *Worker) announceDocument() {
	if w.accepted.row.Version > w.notified {
		w.notified = w.accepted.row.Version
		w.send("", topicDocumentNotice, w.notice())
	}
}

func (w *Worker) notice() wire.DocumentNotice {
	return wire.DocumentNotice{Version: w.accepted.row.Version, Digest: w.accepted.row.Digest}
}

// greet brings a newly linked entry up to date. It may still have drains of orders that ended while it was not linked.
func (w *Worker) greet(name wire.InstanceName) {
	if w.sequence > 0 {
		w.send(name, topicEndpointStates, w.states())
	}
	if w.accepted.document != nil {
		w.send(name, topicDocumentNotice, w.notice())
	}
	for _, row := range w.book.Ended() {
		w.send(name, topicDrainEnd, drainEnd(row, w.links.epoch))
	}
}
