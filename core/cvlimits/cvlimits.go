// Package cvlimits defines the limits on requests and connections of callers.
package cvlimits

import "time"

const (
	// defaultMaxHeaderBytes limits the request line and headers together. Common HTTP servers allow as much.
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 1 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

// Limits holds the limits on one request and on one connection of a caller.
type Limits struct {
	maxHeaderBytes int
	maxBodyBytes   int64
	headerTimeout  time.Duration
	idleTimeout    time.Duration
}

// New returns limits, with the default for each value that is not positive.
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
