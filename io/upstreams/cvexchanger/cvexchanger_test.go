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
	"comfreyvale/io/callers/cvheader"
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

// TestRejectionsOfOtherRequests guards against a rejection that belongs to an earlier request on a reused connection: the
// caller would be told that its request did not run, although the upstream is running it.
func TestRejectionsOfOtherRequests(t *testing.T) {
	cases := map[string]struct {
		// warm sends another request on the connection before.
		warm     bool
		id       string
		kind     comfreyvale.Kind
		believed bool
	}{
		"first of its connection":          {false, "", "", true},
		"on a reused connection":           {true, "", "", false},
		"with the ID":                      {true, "mine", "", true},
		"with the ID of another":           {true, "other", comfreyvale.KindUncertain, false},
		"first, with the ID of another":    {false, "other", comfreyvale.KindUncertain, false},
		"first, with the ID of the caller": {false, "mine", "", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/warm" {
					return
				}
				if c.id != "" {
					w.Header().Set(cvheader.RequestID, c.id)
				}
				w.Header().Set(cvheader.Ran, string(comfreyvale.RanNo))
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			defer server.Close()
			e := &cvexchanger.Exchanger{MaxConnections: 1}
			defer e.Close()
			vm := comfreyvale.NewVM("u", "g", "dc", server.Listener.Addr().String(), false)
			send := func(path string) (*http.Response, error) {
				r, err := http.NewRequest(http.MethodPost, server.URL+path, nil)
				require.NoError(t, err)
				r.Header.Set(cvheader.RequestID, "mine")
				return e.Exchange(context.Background(), vm, r)
			}
			if c.warm {
				response, err := send("/warm")
				require.NoError(t, err)
				response.Body.Close()
			}
			response, err := send("/order")
			require.Equal(t, c.kind, cvfault.KindOf(err))
			if err != nil {
				return
			}
			response.Body.Close()
			require.Equal(t, c.believed, response.Header.Get(cvheader.Ran) == string(comfreyvale.RanNo))
		})
	}
}
