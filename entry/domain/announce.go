package domain

import (
	"slices"

	"cowslipshunt.example/shared/fleet"
	"cowslipshunt.example/wire"
)

// send sends a control message to one entry, or to all if the name is empty. It does nothing if the lease is no longer held.
func (w *Worker) send(to wire.InstanceName, topic string, v any) {
	if _, ok := w.keeper.Guard(0); ok {
		w.links.send(to, topic, v)
	}
}

// awaitedPolls is how many polls without an answer a new holder allows an engine before it announces the engine as loading.
const awaitedPolls = 2

// announce sends all entries what has changed, and the newly linked entries the whole state. Each time
// it also sends the drain of every pending order that is written to the table, which the entries answer with their present number of
// requests in flight. No drain is sent before the states that it follows.
func (w *Worker) announce(linked []wire.InstanceName) {
	w.announceStates()
	w.announceDocument()
	for _, name := range linked {
		w.sendState(name)
	}
	if w.awaitsStates() {
		return
	}
	for _, row := range w.book.PendingWritten() {
		if row.Endpoint != "" {
			w.send("", topicDrainBegin, wire.DrainBegin{Order: row.Order, Endpoint: row.Endpoint, Epoch: w.links.epoch})
		}
	}
}

// announceStates sends all entries the endpoints' states if they changed. It does nothing until the orders, the list of
// endpoints and the document have been read.
func (w *Worker) announceStates() {
	if !w.book.Loaded() || w.endpoints == nil || w.accepted.document == nil || w.awaitsStates() {
		return
	}
	states := fleet.States(w.fleetView(w.latestStates))
	if w.sequence > 0 && slices.Equal(states, w.announcedStates) {
		return
	}
	w.sequence++
	w.announcedStates = states
	w.send("", topicEndpointStates, w.endpointStates())
}

// awaitsStates reports whether a new holder holds back its first announcement, as an engine has not reported its state yet. Such an engine
// would be announced as loading, and the entries would stop using it; until then they keep the states of the holder before.
func (w *Worker) awaitsStates() bool {
	if w.sequence > 0 || w.accepted.document == nil || w.clock.Since(w.heldSince) >= awaitedPolls*w.cfg.OrderTimeout {
		return false
	}
	return !fleet.AllReported(w.fleetView(w.latestStates))
}

// endpointStates returns the last announced states as a message.
func (w *Worker) endpointStates() wire.EndpointStates {
	return wire.EndpointStates{
		Domain:    w.cfg.Self.Domain,
		Epoch:     w.links.epoch,
		Sequence:  w.sequence,
		Endpoints: w.announcedStates,
	}
}

// announceDocument sends all entries a notice of a new version of the document, once for each version.
func (w *Worker) announceDocument() {
	if w.accepted.row.Version > w.notifiedVersion {
		w.notifiedVersion = w.accepted.row.Version
		w.send("", topicDocumentNotice, w.documentNotice())
	}
}

// documentNotice returns a notice of the document in force.
func (w *Worker) documentNotice() wire.DocumentNotice {
	return wire.DocumentNotice{Version: w.accepted.row.Version, Digest: w.accepted.row.Digest}
}

// sendState sends a newly linked entry the present state. This includes the ends of drains, as the entry may still have drains of
// orders that ended while it was not linked.
func (w *Worker) sendState(name wire.InstanceName) {
	if w.sequence > 0 {
		w.send(name, topicEndpointStates, w.endpointStates())
	}
	if w.accepted.document != nil {
		w.send(name, topicDocumentNotice, w.documentNotice())
	}
	for _, row := range w.book.LastSettled() {
		w.send(name, topicDrainEnd, drainEnd(row, w.links.epoch))
	}
}
