package process

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"cowslipshunt.example/shared/finding"
	"github.com/spf13/cobra"
)

// Exit codes of every program.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitInput means bad arguments, settings or documents; nothing was changed.
	ExitInput = 2
	// ExitIncomplete means that a shutdown aborted work before it was complete.
	ExitIncomplete = 3
	// ExitConflict means that a change conflicted with another one; nothing was changed.
	ExitConflict = 4
)

// Version is the program's version. The linker sets it.
var Version = "dev"

// IncompleteShutdownError reports work that a shutdown aborted before it was complete.
type IncompleteShutdownError struct {
	What string
}

// Error names the aborted work.
func (e *IncompleteShutdownError) Error() string {
	return "shutdown left work incomplete: " + e.What
}

// InputError wraps an error in the user's input. Its exit code is ExitInput, 2.
type InputError struct {
	Err error
}

// Error returns the wrapped error's text.
func (e *InputError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the wrapped error.
func (e *InputError) Unwrap() error {
	return e.Err
}

// ExitCoder is an error with its own exit code.
type ExitCoder interface {
	error
	// ProcessCode returns the process's exit code.
	ProcessCode() int
}

// forceContextKey is the context key under which WithSignals stores the context that ForceContext returns.
type forceContextKey struct{}

// ForceContext returns the context that ends at the second signal, which asks for an immediate shutdown. If ctx is not derived
// from one that WithSignals returned, it returns a context that never ends.
func ForceContext(ctx context.Context) context.Context {
	if force, ok := ctx.Value(forceContextKey{}).(context.Context); ok {
		return force
	}
	return context.Background()
}

// WithSignals returns a context that ends at the first SIGTERM or SIGINT. The context that
// ForceContext returns for it ends at the second.
func WithSignals(parent context.Context) (context.Context, context.CancelFunc) {
	force, cancelForce := context.WithCancel(parent)
	ctx, cancel := context.WithCancel(context.WithValue(parent, forceContextKey{}, force))
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		defer cancelForce()
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
		select {
		case <-signals:
		case <-parent.Done():
		}
	}()
	return ctx, cancel
}

// Main runs the root command, prints its error to standard error and returns the process's exit code.
func Main(root *cobra.Command) int {
	ctx, cancel := WithSignals(context.Background())
	defer cancel()
	Prepare(root)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return ExitCode(err)
}

// Prepare sets up what the root commands of all programs have in common: the version command, exit code ExitInput for bad flags,
// and errors that only Main prints.
func Prepare(root *cobra.Command) {
	root.SilenceErrors = true
	root.SilenceUsage = true
	root.Version = Version
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &InputError{Err: err}
	})
	root.AddCommand(newVersionCommand(root.Name()))
}

// ExitCode returns the exit code for an error of a command.
func ExitCode(err error) int {
	var findings finding.List
	var input *InputError
	var incomplete *IncompleteShutdownError
	var withCode ExitCoder
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &withCode):
		return withCode.ProcessCode()
	case errors.As(err, &findings), errors.As(err, &input):
		return ExitInput
	case errors.As(err, &incomplete):
		return ExitIncomplete
	}
	return ExitFailure
}

func newVersionCommand(program string) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s %s %s\n", program, Version, goVersion())
			return err
		},
	}
}

func goVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.GoVersion
	}
	return "unknown"
}
