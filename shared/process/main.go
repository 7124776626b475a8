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
	// ExitInput is for bad arguments, settings or documents; nothing was changed.
	ExitInput = 2
	// ExitCut is for a shutdown that had to end work before it was done.
	ExitCut = 3
	// ExitConflict is for a change that lost a race; nothing was changed.
	ExitConflict = 4
)

// Version is set by the linker.
var Version = "dev"

// CutError says what a shutdown had to end before it was done.
type CutError struct {
	What string
}

// Error names what was cut.
func (e *CutError) Error() string {
	return "shutdown cut " + e.What
}

// InputError wraps a fault of the caller's input, for exit code 2.
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

// Coder is an error that knows its exit code.
type Coder interface {
	error
	// ProcessCode is the process's exit code.
	ProcessCode() int
}

type hardKey struct{}

// Hard returns a context that ends at the second signal, when a graceful shutdown has to be cut short.
func Hard(ctx context.Context) context.Context {
	if hard, ok := ctx.Value(hardKey{}).(context.Context); ok {
		return hard
	}
	return context.Background()
}

// WithSignals returns a context that ends at the first SIGTERM or SIGINT; its Hard context ends at the second.
func WithSignals(parent context.Context) (context.Context, context.CancelFunc) {
	hard, cancelHard := context.WithCancel(parent)
	ctx, cancel := context.WithCancel(context.WithValue(parent, hardKey{}, hard))
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		defer cancelHard()
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

// Main runs a command line and returns the process's exit code.
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

// Prepare gives a command line what all programs share: the version command, and errors that Main prints.
func Prepare(root *cobra.Command) {
	root.SilenceErrors = true
	root.SilenceUsage = true
	root.Version = Version
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &InputError{Err: err}
	})
	root.AddCommand(newVersionCommand(root.Name()))
}

// ExitCode maps an error to an exit code.
func ExitCode(err error) int {
	var findings finding.List
	var input *InputError
	var cut *CutError
	var coder Coder
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &coder):
		return coder.ProcessCode()
	case errors.As(err, &findings), errors.As(err, &input):
		return ExitInput
	case errors.As(err, &cut):
		return ExitCut
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
