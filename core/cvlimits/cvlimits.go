// Package cvlimits is what callers may send and how long they may take.
package cvlimits

import "time"

const (
	// defaultHeadBytes bounds a request's head while no configuration is in force; common HTTP servers allow as much.
	defaultHeadBytes = 16 << 10
	// defaultBodyBytes bounds a request's body while no configuration is in force.
	defaultBodyBytes = 1 << 20
	// defaultHeadTime bounds the arrival of a head while no configuration is in force.
	defaultHeadTime = 3 * time.Second
	// defaultIdleTime bounds idle connections while no configuration is in force.
	defaultIdleTime = 15 * time.Second
)

// Limits bounds one caller's requests and connections.
type Limits struct {
	headBytes int
	bodyBytes int64
	headTime  time.Duration
	idleTime  time.Duration
}

// New returns limits in bytes and times; a value that is not positive takes the default.
func New(headBytes int, bodyBytes int64, headTime, idleTime time.Duration) Limits {
	l := Default()
	if headBytes > 0 {
		l.headBytes = headBytes
	}
	if bodyBytes > 0 {
		l.bodyBytes = bodyBytes
	}
	if headTime > 0 {
		l.headTime = headTime
	}
	if idleTime > 0 {
		l.idleTime = idleTime
	}
	return l
}

// Default returns the limits that hold before any configuration is in force.
func Default() Limits {
	return Limits{headBytes: defaultHeadBytes, bodyBytes: defaultBodyBytes, headTime: defaultHeadTime, idleTime: defaultIdleTime}
}

// MaxHeaderBytes is the size of the largest request head.
func (l Limits) MaxHeaderBytes() int { return l.headBytes }

// MaxBodyBytes is the size of the largest request body.
func (l Limits) MaxBodyBytes() int64 { return l.bodyBytes }

// HeaderTimeout is how long the head of a request may take to arrive.
func (l Limits) HeaderTimeout() time.Duration { return l.headTime }

// IdleTimeout is how long a connection may stay idle.
func (l Limits) IdleTimeout() time.Duration { return l.idleTime }
