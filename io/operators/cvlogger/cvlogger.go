// Package cvlogger provides structured loggers.
package cvlogger

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"
)

// Options defines the output and the format of a logger.
type Options struct {
	// Out receives the log lines.
	Out io.Writer
	// JSON selects one JSON object per line instead of key=value pairs.
	JSON bool
}

// New returns a logger with level info that is safe for concurrent use.
func (l *Options) New() log.Interface {
	if l.JSON {
		return &log.Logger{Handler: json.New(l.Out), Level: log.InfoLevel}
	}
	return &log.Logger{Handler: logfmt.New(l.Out), Level: log.InfoLevel}
}
