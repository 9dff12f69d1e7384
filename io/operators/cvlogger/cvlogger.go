// Package cvlogger provides structured loggers.
package cvlogger

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"
)

// Options configures a logger.
type Options struct {
	// Out receives the log lines.
	Out io.Writer
	// JSON selects one JSON object per line instead of key=value pairs.
	JSON bool
}

// New returns a logger with level info that is safe for concurrent use.
func (o *Options) New() log.Interface {
	if o.JSON {
		return &log.Logger{Handler: json.New(o.Out), Level: log.InfoLevel}
	}
	return &log.Logger{Handler: logfmt.New(o.Out), Level: log.InfoLevel}
}
