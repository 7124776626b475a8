package main

import (
	"net/http"
	"strconv"

	"cowslipshunt.example/shared/standin"
	"cowslipshunt.example/wire"
	"github.com/go-chi/chi/v5"
)

func (e *engine) router() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/chat/completions", e.serveCompletion(chatFormat))
	router.Post("/v1/completions", e.serveCompletion(textFormat))
	router.Get("/state", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, e.currentState())
	})
	router.Get("/load", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, e.loads.lagging())
	})
	router.Get("/received", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, e.received())
	})
	router.Get("/events", e.serveEvents)
	router.Post("/orders", e.serveOrder)
	router.Post("/fault", e.serveFault)
	return router
}

func (e *engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after := 0
	if text := r.URL.Query().Get("after"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		after = n
	}
	standin.WriteJSON(w, http.StatusOK, wire.CacheEventList{Events: e.events.after(after)})
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o wire.EngineOrder
	if !standin.ReadJSON(w, r, &o) {
		return
	}
	if err := checkOrder(o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	standin.WriteJSON(w, http.StatusOK, e.handleOrder(o))
}

func (e *engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault wire.EngineFault
	if !standin.ReadJSON(w, r, &fault) {
		return
	}
	e.fault.Set(fault)
	e.logger.Info().Any("Fault", fault).Msg("fault set")
}
