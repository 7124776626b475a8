package main

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/serving/replication"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/shared/era"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

const (
	// frozenPeers is the number of peers that get pledges and copies of frozen usage windows, in as many failure domains as possible.
	frozenPeers = 4
	// eraClaimInterval is the shortest interval between calls to the store because a peer claims to know a later era. A wrong claim must not
	// make an instance read its tables all the time.
	eraClaimInterval = 3 * time.Second
)

// restores are what an instance knows of restores of the store from backups.
type restores struct {
	// store is nil until setStore is called.
	store  atomic.Pointer[platform.Store]
	copies *metering.FrozenCopies
	// claimed is when a peer's claim was last checked, in nanoseconds of the boot clock.
	claimed atomic.Int64
}

func newRestores() *restores {
	return &restores{copies: metering.NewFrozenCopies()}
}

func (r *restores) setStore(s *platform.Store) {
	r.store.Store(s)
}

// era returns the era of the store's last response, 0 if it gives none.
func (r *restores) era() era.Era {
	if s := r.store.Load(); s != nil {
		return s.Era()
	}
	return 0
}

// isNews reports whether a peer claims to know a later era than this instance and the store should be asked for it.
func (r *restores) isNews(claim era.Era) bool {
	if claim <= r.era() || claim > era.Max {
		return false
	}
	now, last := int64(bootClock{}.Monotonic()), r.claimed.Load()
	return (last == 0 || now-last >= int64(eraClaimInterval)) && r.claimed.CompareAndSwap(last, now)
}

// peerKnowsEra makes the followers ask the store if a peer knows a later era. Only the store's own response is believed.
func (f *followers) peerKnowsEra(claim era.Era, r *restores) {
	if r.isNews(claim) {
		f.interrupt("a peer knows a later era of the store")
	}
}

// interrupt makes the followers ask the store.
func (f *followers) interrupt(reason string) {
	f.configuration.interrupt(reason)
	f.endpoints.interrupt(reason)
}

// onRestore makes everything that depends on the store's state notice a new era at once. The endpoints that the restored store does not
// list have roster.LapseGrace to register again.
func (n *node) onRestore(f *followers, renewMember func()) func(e era.Era) {
	return func(e era.Era) {
		// All instances learn of an era at about the same time, and a part of the store takes 300 transactions a second.
		time.AfterFunc(rand.N(membership.SecondRefreshDelay), renewMember)
		metrics.GetOrCreateCounter("router_store_eras_total").Inc()
		n.logger.Warn().Int("Era", int(e)).Msg("StoreEra")
		n.directory.StoreLost()
		n.directory.StoreRegained(time.Now())
		time.AfterFunc(roster.LapseGrace, func() { dropLapsedEndpoints(n.directory, n.logger) })
		f.interrupt("the store was restored")
	}
}

// logMalformedEra logs and counts an era that is not one.
func logMalformedEra(logger *log.Logger) func(value string) {
	var last atomic.Int64
	return func(value string) {
		metrics.GetOrCreateCounter("router_store_eras_malformed_total").Inc()
		now, before := int64(bootClock{}.Monotonic()), last.Load()
		if (before == 0 || now-before >= int64(rejectedRowsInterval)) && last.CompareAndSwap(before, now) {
			logger.Warn().Str("Value", value[:min(len(value), maxCauseRunes)]).Msg("StoreEraMalformed")
		}
	}
}

// restoredEntries are the entries that a restored store listed although this instance knew newer ones. They stay without effect until the
// endpoints have written them again. They are used by one goroutine.
type restoredEntries struct {
	// read is set once the whole table was read; era is that of the last such read.
	read bool
	era  era.Era
	// ignored are the versions of the entries.
	ignored map[wire.EndpointId]replication.Version
}

// withoutOlder returns the changes of a whole table without those that a restored store lists in an older state than is known.
func (r *restoredEntries) withoutOlder(changes []replication.Change, d *roster.Directory) []replication.Change {
	e := r.era
	for _, c := range changes {
		e = max(e, era.Of(int(c.Version)))
	}
	if e > r.era {
		r.ignored = map[wire.EndpointId]replication.Version{}
	}
	compare := r.read && e > r.era
	r.read, r.era = true, e
	newer := make([]replication.Change, 0, len(changes))
	for _, c := range changes {
		if entry := c.Entry(); compare && entry != nil && d.Supersedes(*entry) {
			r.ignored[c.ID] = c.Version
		}
		if r.ignored[c.ID] != c.Version || c.Version == 0 {
			newer = append(newer, c)
		}
	}
	return newer
}
