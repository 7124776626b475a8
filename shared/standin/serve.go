// Package standin holds what the stand-ins for engines and services have in common.
package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"cowslipshunt.example/shared/process"
)

// ShutdownTimeout is how long a stand-in waits for running requests after the first signal.
const ShutdownTimeout = 30 * time.Second

// Listeners holds the addresses of a stand-in's two listeners.
type Listeners struct {
	Address           string
	OperationsAddress string
}

// Serve runs srv and the operations listener until ctx ends. It returns a process.IncompleteShutdownError if the shutdown aborted
// requests.
func (l Listeners) Serve(ctx context.Context, srv *http.Server, o *process.Operations) error {
	main, err := net.Listen("tcp", l.Address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	operations, err := net.Listen("tcp", l.OperationsAddress)
	if err != nil {
		_ = main.Close()
		return fmt.Errorf("listen for operations: %w", err)
	}
	return serveBoth(ctx, srv, main, o, operations)
}

// serveBoth stops the operations listener only after the main listener, so that the shutdown can be observed.
func serveBoth(ctx context.Context, srv *http.Server, main net.Listener, o *process.Operations, operations net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	operationsCtx, stopOperations := context.WithCancel(context.WithoutCancel(ctx))
	defer stopOperations()
	done := make(chan error, 1)
	go func() {
		defer cancel()
		done <- process.Serve(operationsCtx, process.NewServer(o.Router), operations, time.Second)
	}()
	context.AfterFunc(ctx, func() { o.SetReady(false) })
	o.SetReady(true)
	err := process.Serve(ctx, srv, main, ShutdownTimeout)
	stopOperations()
	return errors.Join(asIncompleteShutdown(err), ignoreDeadline(<-done))
}

// ignoreDeadline drops the deadline error of the operations listener's shutdown, which a slow client causes: no work was aborted.
func ignoreDeadline(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// asIncompleteShutdown converts the errors of an incomplete shutdown to process.IncompleteShutdownError.
func asIncompleteShutdown(err error) error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return &process.IncompleteShutdownError{What: "running requests"}
	}
	return err
}
