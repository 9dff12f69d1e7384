// Package cvlisteners provides functions to open listeners and to handle the errors of HTTP servers.
package cvlisteners

import (
	"net"
	"net/http"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
)

type fault struct{ cvfault.Fault }

func fail(operation string, cause error) error {
	return fault{cvfault.New(operation, comfreyvale.KindUnavailable, cause)}
}

// Open listens on all TCP addresses, in order. If one fails, it closes the others and returns an error of
// KindUnavailable.
func Open(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			for _, o := range listeners {
				o.Close()
			}
			return nil, fail("listen", err)
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// ServeError returns nil for http.ErrServerClosed, and wraps other errors in one of KindUnavailable.
func ServeError(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fail("serve", err)
}
