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

// scaleKey names what one order of endpoints is about, scaleOrder is the last such order.
type (
	scaleKey struct {
		service wire.ServiceName
		domain  wire.DomainName
		spot    bool
	}
	scaleOrder struct {
		count int
		at    time.Time
	}
)

// scaler returns the scaler of a service.
func (x *duties) scaler(name wire.ServiceName) *fleet.Scaler {
	s, known := x.scalers[name]
	if !known {
		s = fleet.NewScaler(fleet.DefaultPolicy)
		x.scalers[name] = s
	}
	return s
}

// scale orders endpoints where fewer or more are listed than wanted.
func (x *duties) scale(ctx context.Context, list []*roster.Endpoint, wanted []fleet.Wanted) {
	now := time.Now()
	for _, w := range wanted {
		key := scaleKey{service: w.Service, domain: w.Domain, spot: w.Spot}
		if last := x.scaled[key]; fleet.Listed(list, w.Domain, w.Spot) == w.Count || last.count == w.Count && now.Sub(last.at) < scaleAgain {
			continue
		}
		a, held := x.authority()
		if !held {
			return
		}
		x.scaled[key] = scaleOrder{count: w.Count, at: now}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := x.client.Scale(callCtx, a, platform.ScaleOrder{Service: w.Service, Domain: w.Domain, Count: w.Count, Spot: w.Spot})
		cancel()
		var status *platform.StatusError
		none := errors.As(err, &status) && status.Status == http.StatusConflict
		if none && w.Spot {
			x.scaler(w.Service).Refused(w.Domain)
		}
		x.logger.Info().Str("Service", string(w.Service)).Str("Domain", string(w.Domain)).Int("Count", w.Count).Bool("Spot", w.Spot).
			Int64("Epoch", int64(a.Epoch)).Bool("NoneToBeHad", none).Err(err).Msg("EndpointsOrdered")
	}
}

// stage orders engines to another stage.
func (x *duties) stage(ctx context.Context, changes []fleet.Change) {
	now := time.Now()
	for _, c := range changes {
		entry := c.Endpoint.Entry()
		if now.Sub(x.staged[entry.Key]) < stageAgain {
			continue
		}
		a, held := x.authority()
		if !held {
			return
		}
		x.staged[entry.Key] = now
		c.Endpoint.Changing(c.To, now.Add(stageAgain))
		x.reports.Ordered(entry.ID, c.To, now.Add(stageAgain))
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := x.client.ChangeStage(callCtx, a, entry, c.To)
		cancel()
		x.logger.Info().Str("Endpoint", string(entry.ID)).Str("From", entry.Stage.String()).Str("To", c.To.String()).
			Int64("Epoch", int64(a.Epoch)).Err(err).Msg("StageOrdered")
	}
}
