// Package cvheader defines the balancer's HTTP headers and selects the end-to-end headers of a message.
package cvheader

import (
	"net/http"
	"strings"
)

const ownPrefix = "Comfreyvale-"

// The names of the headers that the balancer reads and writes.
const (
	RequestID = "Comfreyvale-Request-Id"
	Ran       = "Comfreyvale-Ran"
	Timeout   = "Comfreyvale-Timeout"
	Draining  = "Comfreyvale-Draining"
	Upstream  = "Comfreyvale-Upstream"
	Replayed  = "Comfreyvale-Replayed"
	Key       = "Idempotency-Key"
)

// hopByHop contains the headers that apply to one connection and are not forwarded.
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

// EndToEnd returns the headers to forward: all except hop-by-hop headers, headers that Connection names, and the
// balancer's headers. The values are shared with the given header.
func EndToEnd(header http.Header) http.Header {
	options := connectionOptions(header)
	endToEnd := make(http.Header, len(header))
	for name, values := range header {
		if hopByHop[name] || options[name] || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		endToEnd[name] = values
	}
	return endToEnd
}

// connectionOptions returns the header names that the Connection header lists.
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
