package main

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/quota"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/route"
	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
)

const (
	// defaultQuotaWindow is the time span over which the platform sums up what a workspace has spent, if the settings do not say.
	defaultQuotaWindow = 8 * time.Second
	// quotaCheckInterval is how often a changed configuration is looked for while no workspace has a quota.
	quotaCheckInterval = 500 * time.Millisecond
	// quotaLogInterval is the interval at which refusals are logged for each workspace that had any, and metrics are updated.
	quotaLogInterval = time.Second
	// maxQuotaMetrics bounds the workspaces that have metrics of their own. There are 240 workspaces in the largest deployments.
	maxQuotaMetrics = 256
)

// quotaRunner keeps the quota manager up to date and passes its packets on. It implements quota.Network.
type quotaRunner struct {
	manager *quota.Manager
	logger  *log.Logger
	// peers is nil until the instance has its socket.
	peers atomic.Pointer[peers]

	// table is the configuration whose quotas are in force; limited is set if it has any. Both belong to run.
	table   *route.Table
	limited bool
	logged  time.Time
	// refused holds the refusals of each workspace that have been logged.
	refused map[string]uint64
}

// newQuotaRunner returns the runner of an instance.
func newQuotaRunner(s *platform.Settings, n *node) *quotaRunner {
	q := &quotaRunner{logger: n.logger, refused: map[string]uint64{}}
	window := s.Bounds.QuotaWindow
	if window <= 0 {
		window = defaultQuotaWindow
	}
	self := membership.Peer{Address: s.PeerAddress, Domain: s.Domain}
	q.manager = quota.New(self, n.self.Incarnation, q, clockwork.NewRealClock(), window, quota.WithNow(bootClock{}.Wall))
	return q
}

// Instances returns the peers that send reports. Those that the store still lists may be dead.
func (q *quotaRunner) Instances() []membership.Peer {
	p := q.peers.Load()
	if p == nil {
		return nil
	}
	return p.peerLoads.Peers()
}

// Send sends a packet to a peer.
func (q *quotaRunner) Send(address string, packet *quota.Packet) {
	p := q.peers.Load()
	if p == nil {
		return
	}
	data, err := cbor.Marshal(message{Quota: packet})
	if err != nil || len(data) > maxHandoffBytes {
		q.logger.Error().Int("Bytes", len(data)).Err(err).Msg("QuotaPacketNotSent")
		return
	}
	metrics.GetOrCreateCounter("router_quota_packets_total").Inc()
	metrics.GetOrCreateCounter("router_quota_packet_bytes_total").Add(len(data))
	p.transmit(data, []string{address})
}

// receive passes a packet from a peer on.
func (q *quotaRunner) receive(packet *quota.Packet) {
	q.manager.Receive(packet)
}

// run ticks the manager until ctx ends, as long as the configuration in force has quotas.
func (q *quotaRunner) run(ctx context.Context, r *relay.Relay) {
	timer := time.NewTimer(quotaCheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		_ = protect(q.logger, "quotas", func() { q.tick(r.Table()) })
		if q.limited {
			timer.Reset(quota.TickInterval)
			continue
		}
		timer.Reset(quotaCheckInterval)
	}
}

// tick puts the quotas of a configuration in force if it has changed, and sends what is due.
func (q *quotaRunner) tick(t *route.Table) {
	if t == nil {
		return
	}
	if t != q.table {
		quotas := t.Quotas()
		q.table = t
		if len(quotas) > 0 || q.limited {
			q.manager.SetQuotas(quotas)
			q.logger.Info().Int("Workspaces", len(quotas)).Int64("Version", int64(t.Version)).Msg("QuotasInForce")
		}
		q.limited = len(quotas) > 0
	}
	if !q.limited {
		return
	}
	q.manager.Tick()
	if now := time.Now(); now.Sub(q.logged) >= quotaLogInterval {
		q.logged = now
		q.observe(q.manager.Usage())
	}
}

// observe updates the metrics of the workspaces, and logs one line for each that had refusals since the last call.
func (q *quotaRunner) observe(usage []quota.Usage) {
	for i, u := range usage {
		name := string(u.Workspace)
		if i < maxQuotaMetrics {
			label := "{workspace=" + strconv.Quote(name) + "}"
			metrics.GetOrCreateGauge("router_quota_spent"+label, nil).Set(u.Spent)
			metrics.GetOrCreateGauge("router_quota_refused"+label, nil).Set(float64(u.Refused))
			metrics.GetOrCreateGauge("router_quota_level"+label, nil).Set(u.Level)
			metrics.GetOrCreateGauge("router_quota_rate"+label, nil).Set(u.Rate)
			metrics.GetOrCreateGauge("router_quota_local"+label, nil).Set(float64(u.Local))
		}
		if n := u.Refused - q.refused[name]; n > 0 && u.Refused > q.refused[name] {
			q.logger.Warn().Str("Workspace", name).Uint64("Refused", n).Float64("Level", u.Level).Float64("Rate", u.Rate).
				Float64("Burst", u.Burst).Float64("Spent", u.Spent).Uint64("Local", u.Local).Str("Coordinator", u.Coordinator).Msg("QuotaExceeded")
		}
		q.refused[name] = u.Refused
	}
}
