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
	// endpointGroup identifies the endpoints that one scale order is about.
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

// scale sends a scale order for each group whose number of listed endpoints differs from the wanted one.
func (d *duties) scale(ctx context.Context, listed []*roster.Endpoint, wanted []fleet.Target) {
	now := time.Now()
	for _, w := range wanted {
		group := endpointGroup{service: w.Service, domain: w.Domain, spot: w.Spot}
		last := d.scaleOrders[group]
		repeated := last.count == w.Count && now.Sub(last.sentAt) < scaleRepeatInterval
		if fleet.CountListed(listed, w.Domain, w.Spot) == w.Count || repeated {
			continue
		}
		authority, held := d.authority()
		if !held {
			return
		}
		d.scaleOrders[group] = sentScaleOrder{count: w.Count, sentAt: now}
		orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := d.client.Scale(orderCtx, authority, platform.ScaleOrder{Service: w.Service, Domain: w.Domain, Count: w.Count, Spot: w.Spot})
		cancel()
		var status *platform.StatusError
		unavailable := errors.As(err, &status) && status.Status == http.StatusConflict
		if unavailable && w.Spot {
			d.scaler(w.Service).SpotRefused(w.Domain)
		}
		d.logger.Info().Str("Service", string(w.Service)).Str("Domain", string(w.Domain)).Int("Count", w.Count).Bool("Spot", w.Spot).
			Int64("Epoch", int64(authority.Epoch)).Bool("NoneToBeHad", unavailable).Err(err).Msg("EndpointsOrdered")
	}
}

// changeStages orders engines to change their stage. Each engine gets no further order for stageRepeatInterval.
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
