// Package cvlimits defines the limits on requests and connections of callers.
package cvlimits

import "time"

const (
	// defaultMaxHeaderBytes limits the request line and headers of a request until a configuration is in force. Common
	// HTTP servers allow as much.
	defaultMaxHeaderBytes = 16 << 10
	// defaultMaxBodyBytes limits a request body until a configuration is in force.
	defaultMaxBodyBytes = 1 << 20
	// defaultHeaderTimeout limits the time to receive the request line and headers until a configuration is in force.
	defaultHeaderTimeout = 3 * time.Second
	// defaultIdleTimeout limits the idle time of a connection until a configuration is in force.
	defaultIdleTimeout = 15 * time.Second
)

// Limits holds the limits on one request and on one connection of a caller.
type Limits struct {
	maxHeaderBytes int
	maxBodyBytes   int64
	headerTimeout  time.Duration
	idleTimeout    time.Duration
}

// New returns limits. A value that is not positive is replaced by the default.
func New(maxHeaderBytes int, maxBodyBytes int64, headerTimeout, idleTimeout time.Duration) Limits {
	l := Default()
	if maxHeaderBytes > 0 {
		l.maxHeaderBytes = maxHeaderBytes
	}
	if maxBodyBytes > 0 {
		l.maxBodyBytes = maxBodyBytes
	}
	if headerTimeout > 0 {
		l.headerTimeout = headerTimeout
	}
	if idleTimeout > 0 {
		l.idleTimeout = idleTimeout
	}
	return l
}

// Default returns the limits that apply until a configuration is in force.
func Default() Limits {
	return Limits{maxHeaderBytes: defaultMaxHeaderBytes, maxBodyBytes: defaultMaxBodyBytes, headerTimeout: defaultHeaderTimeout, idleTimeout: defaultIdleTimeout}
}

// MaxHeaderBytes returns the maximum size of the request line and headers together, in bytes.
func (l Limits) MaxHeaderBytes() int { return l.maxHeaderBytes }

// MaxBodyBytes returns the maximum size of a request body in bytes.
func (l Limits) MaxBodyBytes() int64 { return l.maxBodyBytes }

// HeaderTimeout returns the maximum time to receive the request line and headers.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// IdleTimeout returns the maximum idle time of a connection.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }
