package cvbalancer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var breakPoints = []string{"beforeHeaders", "midHeaders", "midBody", "midChunk", "beforeFinalChunk", "wrongLength", "unframed"}

// TestBrokenLookup guards against incomplete responses to idempotent requests: one of two upstreams breaks off at each
// break point. A naive forwarder, which copies bytes as they arrive, must fail at each.
func TestBrokenLookup(t *testing.T) {
	s := newSystem(t, 1, 2, "retryShare: 100%\nretryBurst: 100\nejectFailures: 1000\n")
	vms, err := s.list.List(context.Background())
	require.NoError(t, err)
	for _, p := range breakPoints {
		t.Run(p, func(t *testing.T) {
			s.setFault(0, fmt.Sprintf(`{"break":%q}`, p))
			for i := range 20 {
				tag := fmt.Sprintf("%s-%d", p, i)
				r := s.send(0, "GET", "/lots/1", map[string]string{"X-Tag": tag})
				require.NoError(t, r.err)
				require.Equal(t, http.StatusOK, r.status, r.body)
				require.Contains(t, r.body, tag)
			}
			naive := httptest.NewServer(naiveForwarder(vms[0].Address()))
			defer naive.Close()
			r := sendTo(s.client, naive.Listener.Addr().String(), "GET", "/lots/1", map[string]string{"X-Tag": "naive"})
			require.False(t, r.err == nil && r.status == http.StatusOK && strings.Contains(r.body, `"tag":"naive"}`), "the naive forwarder returned a complete response")
		})
	}
	s.setFault(0, `{}`)
}

func naiveForwarder(upstream string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, _ := http.NewRequestWithContext(r.Context(), r.Method, "http://"+upstream+r.URL.Path, r.Body)
		request.Header = r.Header
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	})
}

// TestBrokenOrder guards against repeated non-idempotent requests. All upstreams break their responses off; the caller
// must be told that it is unknown whether the request ran.
func TestBrokenOrder(t *testing.T) {
	s := newSystem(t, 2, 2, "retryShare: 100%\nretryBurst: 100\nejectFailures: 1000\n")
	for _, p := range breakPoints {
		t.Run(p, func(t *testing.T) {
			for i := range s.group.Upstreams() {
				s.setFault(i, fmt.Sprintf(`{"break":%q}`, p))
			}
			key := map[string]string{"Idempotency-Key": "order-" + p}
			for balancer := range 2 {
				r := s.send(balancer, "POST", "/orders", key)
				require.NoError(t, r.err)
				require.Equal(t, "unknown", r.header.Get("Comfreyvale-Ran"), r.body)
			}
			require.Equal(t, 1, s.runs("order-"+p))
			r := s.send(0, "POST", "/unkeyed/"+p, nil)
			require.Equal(t, "unknown", r.header.Get("Comfreyvale-Ran"), r.body)
		})
	}
}

// TestStreamedAnswer guards against incomplete streamed responses. If one of two upstreams breaks off in a large file,
// the rest must come from the other one; if both do, the caller's connection must break too.
func TestStreamedAnswer(t *testing.T) {
	const size = 3 << 20
	s := newSystem(t, 1, 2, "heldAnswerLimit: 64KiB\nretryShare: 100%\nretryBurst: 100\nejectFailures: 1000\ntimeout: 10s\n")
	path := fmt.Sprintf("/sheets/1?bytes=%d", size)
	s.setFault(0, `{"break":"midBody"}`)
	for range 10 {
		r := s.send(0, "GET", path, nil)
		require.NoError(t, r.err)
		require.True(t, r.body == content("/sheets/1", size), "got %d bytes of %d, or wrong content", len(r.body), size)
	}
	s.setFault(1, `{"break":"midBody"}`)
	r := s.send(0, "GET", path, nil)
	require.Error(t, r.err)
	require.Less(t, len(r.body), size)
}

// TestCancelledCalls guards against a late response that reaches the wrong caller: callers cancel requests at random
// times on a few shared upstream connections.
func TestCancelledCalls(t *testing.T) {
	const callers, callsEach = 20, 40
	s := newSystem(t, 1, 2, "connections: 2\nslots: 2\nqueue: 1000\n")
	var group sync.WaitGroup
	for c := range callers {
		random := rand.New(rand.NewPCG(1, uint64(c)))
		group.Go(func() {
			for i := range callsEach {
				tag := fmt.Sprintf("c%d-%d", c, i)
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.IntN(8000))*time.Microsecond)
				request, _ := http.NewRequestWithContext(ctx, "GET", "http://"+s.callerAddresses[0]+"/lots/1", nil)
				request.Host = "h.example"
				request.Header.Set("X-Tag", tag)
				if response, err := s.client.Do(request); err == nil {
					body, err := io.ReadAll(response.Body)
					response.Body.Close()
					if err == nil && response.StatusCode == http.StatusOK && !strings.Contains(string(body), `"tag":"`+tag+`"`) {
						t.Errorf("the request with tag %s got the response %s", tag, body)
					}
				}
				cancel()
			}
		})
	}
	group.Wait()
}

// TestRequestShapes guards against request smuggling: a request that two parsers might interpret differently must be
// refused or forwarded as exactly one request.
func TestRequestShapes(t *testing.T) {
	s := newSystem(t, 1, 1, "")
	cases := map[string]struct {
		raw    string
		status string
	}{
		"two lengths":              {"POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400"},
		"negative length":          {"POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: -1\r\n\r\n", "400"},
		"unknown coding":           {"POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: xchunked\r\n\r\n", "501"},
		"two codings":              {"POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n", "501"},
		"bad chunk":                {"POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
		"space before colon":       {"GET /a HTTP/1.1\r\nHost: h.example\r\nX-Tag : t\r\n\r\n", "400"},
		"no host":                  {"GET /a HTTP/1.1\r\n\r\n", "400"},
		"tunnel":                   {"CONNECT h.example:1 HTTP/1.1\r\nHost: h.example\r\n\r\n", "400"},
		"broken off body":          {"POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 9\r\nComfreyvale-Timeout: 200\r\n\r\nabc", "400"},
		"forged header":            {"GET /a HTTP/1.1\r\nHost: h.example\r\nComfreyvale-Ran: no\r\nComfreyvale-Request-Id: x\r\n\r\n", "200"},
		"named in Connection":      {"GET /a HTTP/1.1\r\nHost: h.example\r\nConnection: X-Tag\r\nX-Tag: hop\r\n\r\n", "200"},
		"upgrade is not passed on": {"GET /a HTTP/1.1\r\nHost: h.example\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n", "200"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", s.callerAddresses[0])
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, c.raw)
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, c.status, response.Status[:3], string(body))
			require.NotContains(t, string(body), "hop")
		})
	}
}
