package main

import (
	"fmt"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 4 << 10

// PanicError reports that a piece of work panicked.
type PanicError struct {
	// Work names the piece of work.
	Work  string
	Value any
}

// Error states the value of the panic.
func (e *PanicError) Error() string {
	return fmt.Sprintf("%s panicked: %v", e.Work, e.Value)
}

// protect runs one piece of work and returns a *PanicError if it panics, so that an unexpected input ends this piece and not the
// process. The panic is logged with its stack and counted.
func protect(logger *log.Logger, work string, run func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			logPanic(logger, work, "", value)
			err = &PanicError{Work: work, Value: value}
		}
	}()
	run()
	return nil
}

// logPanic logs and counts a panic that was recovered. The request is empty unless the work belongs to one.
func logPanic(logger *log.Logger, work, request string, value any) {
	metrics.GetOrCreateCounter(`router_panics_total{work="` + work + `"}`).Inc()
	stack := debug.Stack()
	logger.Error().Str("Work", work).Str("Request", request).Str("Reason", fmt.Sprint(value)).
		Str("Stack", string(stack[:min(len(stack), maxStackBytes)])).Msg("Panicked")
}
