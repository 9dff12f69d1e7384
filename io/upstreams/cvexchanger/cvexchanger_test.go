package cvexchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
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

// TestResponsesCutAnywhere checks that a response which ends at any byte of its head or body is never taken for a whole
// one: either there is no response, or its body breaks, or it is refused because its end cannot be told.
func TestResponsesCutAnywhere(t *testing.T) {
	const body = "0123456789"
	cases := map[string]string{
		"a length":          "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 10\r\n\r\n" + body,
		"chunks":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n",
		"chunks, trailers":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n" + body + "\r\n0\r\nA: b\r\n\r\n",
		"no length":         "HTTP/1.1 200 OK\r\nA: b\r\n\r\n" + body,
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\n\r\n" + body,
		"after an interim":  "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n" + body,
		"bare line feeds":   "HTTP/1.1 200 OK\nContent-Length: 10\n\n" + body,
		"a rejection":       "HTTP/1.1 503 Service Unavailable\r\nComfreyvale-Ran: no\r\nContent-Length: 2\r\n\r\nno",
		"a length, closing": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 10\r\n\r\n" + body,
	}
	for name, response := range cases {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			go func() {
				for length := 0; ; length++ {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						_, _ = io.WriteString(conn, response[:length])
					}
					conn.Close()
				}
			}()
			e := &cvexchanger.Exchanger{MaxConnections: 1}
			defer e.Close()
			vm := comfreyvale.NewVM("u", "g", "dc", listener.Addr().String(), false)
			for length := range len(response) {
				request, err := http.NewRequest(http.MethodGet, "http://u/", nil)
				require.NoError(t, err)
				answer, err := e.Exchange(context.Background(), vm, request)
				if err != nil {
					require.Equal(t, comfreyvale.KindUncertain, cvfault.KindOf(err))
					continue
				}
				framing := e.CheckFraming(answer)
				_, err = io.ReadAll(answer.Body)
				answer.Body.Close()
				require.True(t, framing != nil || err != nil, "cut after %d bytes", length)
			}
		})
	}
}
