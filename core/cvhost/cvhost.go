// Package cvhost reads the Host header.
package cvhost

import (
	"net"
	"strings"
)

// Name is the host's name in lower case, without its port.
func Name(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
