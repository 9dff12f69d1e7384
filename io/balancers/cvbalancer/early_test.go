package cvbalancer_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/io/standins/cvrawserver"
)

// startRaw adds an upstream to group g and waits until the balancer uses it.
func (s *system) startRaw(server *cvrawserver.Server) {
	address, err := server.Start()
	require.NoError(s.t, err)
	s.t.Cleanup(server.Stop)
	s.list.Put(comfreyvale.NewVM("raw", "g", "dc-1", address, false))
	require.Eventually(s.t, func() bool {
		s.send(0, "GET", "/", nil)
		return server.Received() > 0
	}, 20*time.Second, 10*time.Millisecond)
}

// TestEarlyResponses guards against a part of a response that a caller takes for the whole: the upstream answers before
// it has read the request, and resets the connection. Responses are held at first, and streamed in the second run.
func TestEarlyResponses(t *testing.T) {
	const repetitions = 10
	responses := map[string]struct {
		method, response string
		// whole is the body of a response that may arrive; a response that is cut has none.
		whole string
	}{
		"no length":           {"POST", "HTTP/1.1 200 OK\r\n\r\npart", ""},
		"no body byte":        {"POST", "HTTP/1.1 200 OK\r\n\r\n", ""},
		"413, no length":      {"POST", "HTTP/1.1 413 Too Large\r\n\r\npart", ""},
		"HTTP/1.0":            {"POST", "HTTP/1.0 200 OK\r\n\r\npart", ""},
		"a length, cut":       {"POST", "HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\npart", ""},
		"chunks, cut":         {"POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", ""},
		"a length":            {"POST", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull", "full"},
		"chunks":              {"POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n", "full"},
		"lookup, no length":   {"GET", "HTTP/1.1 200 OK\r\n\r\npart", ""},
		"lookup, chunks, cut": {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", ""},
	}
	for how, service := range map[string]string{"held": "", "streamed": "heldAnswerLimit: 1B\n"} {
		s := newSystem(t, 1, 0, "retryShare: 0%\nretryBurst: 0\nejectFailures: 1000\n"+service)
		server := &cvrawserver.Server{Reset: true, Respond: func(request *http.Request) string {
			return responses[strings.ReplaceAll(request.URL.Path[1:], "_", " ")].response
		}}
		s.startRaw(server)
		for name, c := range responses {
			for size, body := range map[string]string{"small": "b", "long": strings.Repeat("b", 1<<20)} {
				t.Run(fmt.Sprintf("%s, %s, %s request", name, how, size), func(t *testing.T) {
					before := server.Received()
					for range repetitions {
						r := s.sendBody(0, c.method, "/"+strings.ReplaceAll(name, " ", "_"), body)
						if r.err == nil && (r.status < http.StatusInternalServerError) {
							require.Equal(t, c.whole, r.body)
							require.NotEmpty(t, c.whole)
						}
					}
					if c.whole != "" {
						// The connection is kept behind a whole response, and may be used again before its reset is seen.
						require.Greater(t, server.Received(), before)
						return
					}
					// The client itself sends lookups again whose connection broke.
					require.GreaterOrEqual(t, server.Received()-before, int64(repetitions))
				})
			}
		}
	}
}
