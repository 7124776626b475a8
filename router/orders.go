package main

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/fleet"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

type (
	// endpointGroup identifies the endpoints whose number one scale order sets.
	endpointGroup struct {
		service wire.ServiceName
		domain  wire.DomainName
		spot    bool
	}
	// sentScaleOrder is the last scale order that was sent for a group.
	sentScaleOrder struct {
		count  int
		sentAt time.Time
	}
)

// scaler returns the scaler of a service, creating it on first use.
func (d *duties) scaler(name wire.ServiceName) *fleet.Scaler {
	s, ok := d.scalers[name]
	if !ok {
		s = fleet.NewScaler(fleet.DefaultPolicy)
		d.scalers[name] = s
	}
	return s
}

// scale sends a scale order for each target that differs from the number of listed endpoints. The same order for a group is
// repeated only after scaleRepeatInterval.
func (d *duties) scale(ctx context.Context, listed []*roster.Endpoint, targets []fleet.Target) {
	now := time.Now()
	for _, t := range targets {
		group := endpointGroup{service: t.Service, domain: t.Domain, spot: t.Spot}
		last := d.scaleOrders[group]
		sentRecently := last.count == t.Count && now.Sub(last.sentAt) < scaleRepeatInterval
		if fleet.CountListed(listed, t.Domain, t.Spot) == t.Count || sentRecently {
			continue
		}
		authority, held := d.authority()
		if !held {
			return
		}
		d.scaleOrders[group] = sentScaleOrder{count: t.Count, sentAt: now}
		orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := d.client.Scale(orderCtx, authority, platform.ScaleOrder{Service: t.Service, Domain: t.Domain, Count: t.Count, Spot: t.Spot})
		cancel()
		var status *platform.StatusError
		unavailable := errors.As(err, &status) && status.Status == http.StatusConflict
		if unavailable && t.Spot {
			d.scaler(t.Service).SpotRefused(t.Domain)
		}
		d.logger.Info().Str("Service", string(t.Service)).Str("Domain", string(t.Domain)).Int("Count", t.Count).Bool("Spot", t.Spot).
			Int64("Epoch", int64(authority.Epoch)).Bool("NoneToBeHad", unavailable).Err(err).Msg("EndpointsOrdered")
	}
}

// changeStages orders engines to change their stage. An engine gets at most one order in stageRepeatInterval.
func (d *duties) changeStages(ctx context.Context, changes []fleet.StageChange) {
	now := time.Now()
	for _, c := range changes {
		entry := c.Endpoint.Entry()
		if now.Sub(d.stageOrders[entry.Key]) < stageRepeatInterval {
			continue
		}
		authority, held := d.authority()
		if !held {
			return
		}
		d.stageOrders[entry.Key] = now
		c.Endpoint.SetChangingStage(c.To, now.Add(stageRepeatInterval))
		d.loadReporter.RecordOrder(entry.ID, c.To, now.Add(stageRepeatInterval))
		orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := d.client.ChangeStage(orderCtx, authority, entry, c.To)
		cancel()
		d.logger.Info().Str("Endpoint", string(entry.ID)).Str("From", entry.Stage.String()).Str("To", c.To.String()).
			Int64("Epoch", int64(authority.Epoch)).Err(err).Msg("StageOrdered")
	}
}
