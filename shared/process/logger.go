package process

import (
	"io"

	"github.com/phuslu/log"
)

// NewLogger returns a logger that writes JSON lines with the program's and instance's names.
func NewLogger(w io.Writer, level, program, instance string) *log.Logger {
	context := log.NewContext(nil).Str("Program", program).Str("Instance", instance).Value()
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeField:  "Time",
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    context,
		Writer:     &log.IOWriter{Writer: w},
	}
}
