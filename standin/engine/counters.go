package main

import "github.com/VictoriaMetrics/metrics"

// counters are an engine's metrics.
type counters struct {
	set           *metrics.Set
	ran           *metrics.Counter
	refused       *metrics.Counter
	cancelled     *metrics.Counter
	cut           *metrics.Counter
	prefillTokens *metrics.Counter
	cachedTokens  *metrics.Counter
	outputTokens  *metrics.Counter
	orders        *metrics.Counter
}

func newCounters() *counters {
	set := metrics.NewSet()
	return &counters{
		set:           set,
		ran:           set.NewCounter("standin_engine_ran_total"),
		refused:       set.NewCounter("standin_engine_refused_total"),
		cancelled:     set.NewCounter("standin_engine_cancelled_total"),
		cut:           set.NewCounter("standin_engine_cut_total"),
		prefillTokens: set.NewCounter("standin_engine_prefill_tokens_total"),
		cachedTokens:  set.NewCounter("standin_engine_cached_tokens_total"),
		outputTokens:  set.NewCounter("standin_engine_output_tokens_total"),
		orders:        set.NewCounter("standin_engine_orders_total"),
	}
}
