// Package cvshutdown decides which requests a process that shuts down still sends to upstreams.
//
// The load that it handles: requests that arrive or get a slot late in the grace period, some of them with timeouts that
// end after the process. A request that was sent and is cut may have run, so its caller cannot safely send it again; one
// that is refused unsent can go to another process at once.
package cvshutdown

import "time"

// sendShare is the share of the time until the end in which any request may be sent. The rest is for the requests in
// progress.
const sendShare = 0.5

// Shutdown is the course of one shutdown. The zero value stands for a process that goes on.
type Shutdown struct{ start, end time.Time }

// New returns a shutdown that began at start and whose requests must be answered by end.
func New(start, end time.Time) Shutdown { return Shutdown{start: start, end: end} }

// LastSend returns when the last request may be sent whose deadline is after the end.
func (s Shutdown) LastSend() time.Time {
	return s.start.Add(time.Duration(sendShare * float64(s.end.Sub(s.start))))
}

// End returns when the requests that are still in progress are ended.
func (s Shutdown) End() time.Time { return s.end }

// MaySend reports whether a request with a deadline may be sent to an upstream.
func (s Shutdown) MaySend(now, deadline time.Time) bool {
	return s.end.IsZero() || now.Before(s.LastSend()) || !deadline.After(s.end)
}
