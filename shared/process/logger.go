package process

import (
	"io"

	"github.com/phuslu/log"
)

// defaultLevel is the log level if the settings don't set one.
const defaultLevel = "info"

// NewLogger returns a logger that writes JSON lines, each with the names of the program and the instance. An empty level means
// info.
func NewLogger(w io.Writer, level, program, instance string) *log.Logger {
	if level == "" {
		level = defaultLevel
	}
	context := log.NewContext(nil).Str("Program", program).Str("Instance", instance).Value()
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeField:  "Time",
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    context,
		Writer:     &log.IOWriter{Writer: w},
	}
}
