// Package cvhost provides the host name of a Host header.
package cvhost

import (
	"net"
	"strings"
)

// Name returns the host name of a Host header value in lower case, without the port.
func Name(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
