package cvbalancer_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyvale/io/standins/cvmalformed"
	"comfreyvale/io/standins/cvrawserver"
)

// checkMalformed runs a balancer whose only upstream gives each of the responses. No caller may get one of them, and the
// requests must count as possibly run.
func checkMalformed(t *testing.T, responses map[string]string) {
	s := newSystem(t, 1, 0, "retryShare: 0%\nretryBurst: 0\nejectFailures: 1000\n")
	var names []string
	for name := range responses {
		names = append(names, name)
	}
	server := &cvrawserver.Server{Respond: func(request *http.Request) string {
		var index int
		if _, err := fmt.Sscanf(request.URL.Path, "/%d/", &index); err != nil {
			return "HTTP/1.1 204 No Content\r\n\r\n"
		}
		return responses[names[index]]
	}}
	s.startRaw(server)
	for index, name := range names {
		t.Run(name, func(t *testing.T) {
			for _, method := range []string{http.MethodPost, http.MethodGet} {
				before := server.Received()
				r := s.send(0, method, fmt.Sprintf("/%d/%s", index, strings.ToLower(method)), nil)
				require.NoError(t, r.err)
				require.Equal(t, http.StatusBadGateway, r.status, r.body)
				require.Equal(t, "unknown", r.header.Get("Comfreyvale-Ran"))
				require.Equal(t, before+1, server.Received())
			}
		})
	}
}

// TestMalformedStatuses guards against a status that reaches a caller though HTTP has none like it.
func TestMalformedStatuses(t *testing.T) {
	responses := make(map[string]string)
	for name, line := range cvmalformed.StatusLines() {
		responses[name] = line + "\r\nContent-Length: 4\r\n\r\ntext"
		responses[name+" after an interim"] = "HTTP/1.1 103 Early Hints\r\n\r\n" + line + "\r\nContent-Length: 4\r\n\r\ntext"
	}
	checkMalformed(t, responses)
}

// TestMalformedLines guards against a response with a header or trailer that its upstream meant otherwise than the
// balancer reads it, or that others read otherwise again.
func TestMalformedLines(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\n"
	responses := make(map[string]string)
	for name, line := range cvmalformed.Lines() {
		responses[name] = start + "A: b\r\n" + line + "\r\nContent-Length: 4\r\n\r\ntext"
		responses[name+", last"] = start + "Content-Length: 4\r\n" + line + "\r\n\r\ntext"
		responses[name+", first"] = start + line + "\r\nContent-Length: 4\r\n\r\ntext"
		responses[name+", of an interim"] = "HTTP/1.1 103 Early Hints\r\nA: b\r\n" + line + "\r\n\r\n" + start + "Content-Length: 4\r\n\r\ntext"
		responses[name+", of a trailer"] = start + "Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\nA: b\r\n" + line + "\r\n\r\n"
		responses[name+", of a rejection"] = "HTTP/1.1 503 Service Unavailable\r\nComfreyvale-Ran: no\r\n" + line + "\r\nContent-Length: 4\r\n\r\ntext"
	}
	checkMalformed(t, responses)
}

// TestMalformedFraming guards against a body that ends elsewhere than its upstream meant.
func TestMalformedFraming(t *testing.T) { checkMalformed(t, cvmalformed.Framings("A: b\r\n")) }
