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

// Grace is how long a stand-in lets its requests end after the first signal.
const Grace = 30 * time.Second

// Listeners are the two addresses of a stand-in.
type Listeners struct {
	Address           string
	OperationsAddress string
}

// Serve runs srv and the operations listener until ctx ends. Requests that had to be ended are a process.CutError.
func (a Listeners) Serve(ctx context.Context, srv *http.Server, o *process.Operations) error {
	main, err := net.Listen("tcp", a.Address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	operations, err := net.Listen("tcp", a.OperationsAddress)
	if err != nil {
		_ = main.Close()
		return fmt.Errorf("listen for operations: %w", err)
	}
	return serveBoth(ctx, srv, main, o, operations)
}

// serveBoth keeps the operations listener until the main one has ended, so a shutdown can be watched.
func serveBoth(ctx context.Context, srv *http.Server, main net.Listener, o *process.Operations, operations net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lasting, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := make(chan error, 1)
	go func() {
		defer cancel()
		done <- process.Serve(lasting, process.NewServer(o.Router), operations, time.Second)
	}()
	context.AfterFunc(ctx, func() { o.SetReady(false) })
	o.SetReady(true)
	err := process.Serve(ctx, srv, main, Grace)
	stop()
	return errors.Join(asCut(err), withoutDeadline(<-done))
}

// withoutDeadline drops what a lingering reader of the operations listener causes: it cuts no work.
func withoutDeadline(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

func asCut(err error) error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return &process.CutError{What: "running requests"}
	}
	return err
}
