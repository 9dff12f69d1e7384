package cvexchanger_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/io/upstreams/cvexchanger"
)

// TestSendsOnce guards against an order that runs twice: net/http automatically resends a request with an
// Idempotency-Key if its connection breaks.
func TestSendsOnce(t *testing.T) {
	cases := map[string]struct{ method string }{"order": {"POST"}, "lookup": {"GET"}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				if runs.Add(1)%2 == 0 {
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			request := func() *http.Request {
				r, err := http.NewRequest(c.method, server.URL+"/orders", nil)
				require.NoError(t, err)
				r.Header.Set("Idempotency-Key", "k")
				return r
			}
			plain := &http.Transport{}
			for range 2 {
				response, err := plain.RoundTrip(request())
				require.NoError(t, err, "net/http hides that it sent the request again")
				response.Body.Close()
			}
			require.EqualValues(t, 3, runs.Load(), "two requests of the plain transport run three times")
			plain.CloseIdleConnections()

			runs.Store(0)
			e := &cvexchanger.Exchanger{MaxConnections: 1}
			defer e.Close()
			vm := comfreyvale.NewVM("u", "g", "dc", server.Listener.Addr().String(), false)
			response, err := e.Exchange(context.Background(), vm, request())
			require.NoError(t, err)
			response.Body.Close()
			_, err = e.Exchange(context.Background(), vm, request())
			require.Equal(t, comfreyvale.KindUncertain, cvfault.KindOf(err))
			require.EqualValues(t, 2, runs.Load())
			server.Close()
			_, err = e.Exchange(context.Background(), vm, request())
			require.Equal(t, comfreyvale.KindUnavailable, cvfault.KindOf(err))
		})
	}
}
