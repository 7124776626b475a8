package main

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
)

// countCalls counts the calls of each method and route when they end, including those that a fault fails or aborts.
func countCalls(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer countCall(r)
		h.ServeHTTP(w, r)
	})
}

func countCall(r *http.Request) {
	route := chi.RouteContext(r.Context()).RoutePattern()
	if route == "" {
		return
	}
	name := fmt.Sprintf(`standin_platform_calls_total{method=%q,route=%q}`, r.Method, route)
	metrics.GetOrCreateCounter(name).Inc()
}
