// Package cvhttpstatus classifies the statuses of upstreams' responses.
//
// The load that it handles: faulty upstreams send 000, 042, 101, 600 or interim responses with a body, also on
// connections that are reused. net/http parses such statuses, and its server panics when it has to send one below 100.
package cvhttpstatus

import (
	"net/http"
	"strings"
)

// Status is the status of a response. It is valid if it is interim or final; a response with another status is malformed.
type Status int

// Interim reports whether a response with this status precedes another one and has no body. A change of protocols (101)
// is not expected, because requests don't ask for it.
func (s Status) Interim() bool {
	return s >= http.StatusContinue && s < http.StatusOK && s != http.StatusSwitchingProtocols
}

// Final reports whether a response with this status may be sent to a caller.
func (s Status) Final() bool { return s >= http.StatusOK && s <= 599 }

// InterimBody reports whether the header of an interim response announces a body, whose bytes would be read as the next
// response. HTTP rules out both headers there.
func InterimBody(header http.Header, transferEncoding []string) bool {
	length := strings.TrimSpace(header.Get("Content-Length"))
	return strings.Trim(length, "0") != "" || len(transferEncoding) > 0 || header.Get("Transfer-Encoding") != ""
}
