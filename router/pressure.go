package main

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxEndpointBytes is how many bytes of requests all instances together let one endpoint hold. It is a guess, as endpoints do not announce their
// memory. An engine that runs 64 requests and has 192 waiting, all with bodies of 100 KB, holds 25.6 MB; ordinary loads stay below the bound.
const maxEndpointBytes = 32 << 20

// endpointBytesShare returns the part of maxEndpointBytes that an instance may use whatever its peers hold.
func endpointBytesShare(instances int) int64 {
	return maxEndpointBytes / int64(max(instances, 1))
}

// logSlowReader logs and counts that a caller was disconnected, as it read slowly while the responses filled their memory. The line Undelivered
// of the request follows.
func (d decisionLog) logSlowReader(bytes int64, stalled time.Duration) {
	metrics.GetOrCreateCounter("router_slow_readers_disconnected_total").Inc()
	d.logger.Warn().Int64("Bytes", bytes).Int64("StalledMillis", stalled.Milliseconds()).Msg("SlowReaderDisconnected")
}
