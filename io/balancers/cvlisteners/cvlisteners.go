// Package cvlisteners opens the addresses of a process.
package cvlisteners

import (
	"net"
	"net/http"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
)

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, cause error) error {
	return fault{cvfault.New(operation, comfreyvale.KindUnavailable, cause)}
}

// Open opens all addresses or none.
func Open(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			for _, open := range listeners {
				open.Close()
			}
			return nil, fail("listen", err)
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// ServeError turns the ordinary end of an HTTP server into no error.
func ServeError(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fail("serve", err)
}
