// Package cvlogger is the structured log, one JSON object a line.
package cvlogger

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"
)

// Logger writes lines for changes of state.
type Logger struct {
	// Out takes the lines.
	Out io.Writer
	// JSON writes JSON objects instead of key=value lines.
	JSON bool
}

// New returns the log.
func (l *Logger) New() log.Interface {
	if l.JSON {
		return &log.Logger{Handler: json.New(l.Out), Level: log.InfoLevel}
	}
	return &log.Logger{Handler: logfmt.New(l.Out), Level: log.InfoLevel}
}
