package main

import (
	"errors"
	"net"
	"net/http"

	"cowslipshunt.example/shared/process"
)

// maxListeners is the largest number of HTTP listeners of an instance: callers, readiness and metrics.
const maxListeners = 3

// listen starts the instance's HTTP servers.
func (n *node) listen(o options) error {
	s := n.settings.Load()
	guard := n.heads.Guard(n.callerServer, maxConns(s), n.headLimits)
	if err := serveAt(n.callerServer, s.CallerAddress, n.listenErrs, listenForCallers, guard, n.callerConns.Listener); err != nil {
		return err
	}
	readyServer := newReadyServer(func() bool { return n.relay.Table() != nil && !n.callerHandler.stopping.Load() })
	if err := serveAt(readyServer, s.ReadyAddress, n.listenErrs, n.heads.Guard(readyServer, maxOperationsConns, operationsLimits)); err != nil {
		return err
	}
	if o.Metrics == "" {
		return nil
	}
	host, _, err := net.SplitHostPort(s.CallerAddress)
	if err != nil {
		return err
	}
	operations := process.NewOperations()
	operations.Router.Get(explainPath, n.serveExplain)
	metricsServer := process.NewServer(operations.Router)
	return serveAt(metricsServer, net.JoinHostPort(host, o.Metrics), n.listenErrs, n.heads.Guard(metricsServer, maxOperationsConns, operationsLimits))
}

// serveAt starts srv at a TCP address, on a listener that the wrappers have wrapped. If srv ends before its shutdown, its error is sent
// to errs.
func serveAt(srv *http.Server, address string, errs chan<- error, wrappers ...func(net.Listener) net.Listener) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	for _, wrap := range wrappers {
		l = wrap(l)
	}
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			errs <- err
		}
	}()
	return nil
}
