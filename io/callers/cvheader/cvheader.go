// Package cvheader is the set of header lines that travel with a request or an answer.
package cvheader

import (
	"net/http"
	"strings"
)

// ownPrefix begins the names of the balancer's own headers.
const ownPrefix = "Comfreyvale-"

// The balancer's own headers.
const (
	RequestID = "Comfreyvale-Request-Id"
	Ran       = "Comfreyvale-Ran"
	Timeout   = "Comfreyvale-Timeout"
	Draining  = "Comfreyvale-Draining"
	Upstream  = "Comfreyvale-Upstream"
	Replayed  = "Comfreyvale-Replayed"
	Key       = "Idempotency-Key"
)

// hopByHop are the headers that concern one connection alone.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
}

// EndToEnd returns the header lines that travel on: without those of the connection and the balancer's own.
func EndToEnd(header http.Header) http.Header {
	named := connectionOptions(header)
	kept := make(http.Header, len(header))
	for name, values := range header {
		if hopByHop[name] || named[name] || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		kept[name] = values
	}
	return kept
}

// connectionOptions are the headers that the Connection header names.
func connectionOptions(header http.Header) map[string]bool {
	lines := header["Connection"]
	if len(lines) == 0 {
		return nil
	}
	names := make(map[string]bool)
	for _, line := range lines {
		for name := range strings.SplitSeq(line, ",") {
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}
