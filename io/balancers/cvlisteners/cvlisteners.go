// Package cvlisteners provides functions to open listeners and to handle the errors of HTTP servers.
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

// Open listens on all TCP addresses and returns the listeners in the same order. If one address fails, it closes the
// listeners that are already open and returns an error of KindUnavailable.
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

// ServeError returns nil if err is http.ErrServerClosed, which Serve returns after Shutdown or Close. Otherwise it
// wraps err in an error of KindUnavailable.
func ServeError(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fail("serve", err)
}
