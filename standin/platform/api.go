package main

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cowslipshunt.example/wire"
	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"
)

// API serves the platform's interfaces, and the controls with which tests set faults, change endpoints and read what the
// interfaces received.
type API struct {
	chi.Router
	stop      <-chan struct{}
	table     *Table
	objects   *Objects
	pool      *Pool
	usage     *Usage
	instances *Instances
	weights   *Weights
	fault     *Fault
}

// Option configures an API.
type Option func(*API)

// WithStop sets the stop channel. Once it is closed, delayed calls fail with status 503.
func WithStop(stop <-chan struct{}) Option {
	return func(a *API) {
		a.stop = stop
	}
}

// NewAPI returns the interfaces with no stored data and the settings' pool of endpoints.
func NewAPI(cfg *Settings, clock clockwork.Clock, opts ...Option) *API {
	lag := time.Duration(cfg.InstancesLagMillis) * time.Millisecond
	a := &API{
		Router:    chi.NewRouter(),
		table:     NewTable(),
		objects:   NewObjects(),
		pool:      NewPool(clock, cfg.Endpoint),
		usage:     NewUsage(),
		instances: NewInstances(clock, lag),
		weights:   NewWeights(clock, cfg.WeightBytesPerSecond, cfg.WeightBytes),
	}
	for _, opt := range opts {
		opt(a)
	}
	a.fault = NewFault(clock, a.stop)
	a.Use(countCalls)
	a.Group(a.routeInterfaces)
	a.routeControls(a.Router)
	return a
}

// routeInterfaces registers the platform's interfaces; faults apply to them.
func (a *API) routeInterfaces(r chi.Router) {
	r.Use(a.fault.Wrap)
	r.Post("/table/read", handleCall(a.table.Read))
	r.Post("/table/scan", handleCall(a.table.Scan))
	r.Post("/table/transact", handleCall(a.table.Transact))
	r.Put("/objects/{name}", a.putObject)
	r.Get("/objects/{name}", a.getObject)
	r.Get("/endpoints", a.listEndpoints)
	r.Post("/endpoints/orders", handleCall(a.pool.Order))
	r.Post("/usage/reports", handleAction(a.usage.Report))
	r.Get("/instances", handleQuery(a.instances.List))
	r.Post("/instances", handleAction(a.instances.Put))
	r.Get("/weights/{model}/{version}", a.getWeights)
}

// routeControls registers the controls of tests; faults never apply to them.
func (a *API) routeControls(r chi.Router) {
	r.Post("/fault", handleAction(a.fault.Set))
	r.Post("/endpoints/leaving", handleAction(a.pool.Leave))
	r.Post("/endpoints/vanish", handleAction(a.pool.Vanish))
	r.Get("/received/usage", handleQuery(a.usage.Received))
	r.Get("/received/orders", handleQuery(a.pool.Received))
}

func (a *API) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := readBody(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	if err := a.objects.Put(wire.Digest(pathValue(r, "name")), data); err != nil {
		writeError(w, err)
		return
	}
	writeAnswer(w, Done{})
}

func (a *API) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := a.objects.Get(wire.Digest(pathValue(r, "name")))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

func (a *API) listEndpoints(w http.ResponseWriter, r *http.Request) {
	domain := r.URL.Query().Get("domain")
	writeAnswer(w, a.pool.List(wire.DomainName(domain)))
}

func (a *API) getWeights(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(a.weights.Size()))
	err := a.weights.Copy(r.Context(), w, pathValue(r, "model"), pathValue(r, "version"))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

func pathValue(r *http.Request, name string) string {
	raw := chi.URLParam(r, name)
	if value, err := url.PathUnescape(raw); err == nil {
		return value
	}
	return raw
}
