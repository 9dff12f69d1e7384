package cvnode_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/io/standins/cvmalformed"
	"comfreyvale/io/standins/cvrawserver"
)

// anyID stands for the ID of the request in the text of a response.
const anyID = "ANY-ID"

// checkMalformed runs a balancer and, for each of the responses, a group with an upstream that gives it. No caller may
// get one of them.
func checkMalformed(t *testing.T, responses map[string]string) {
	const patience = 20 * time.Second
	d := newDeployment(t)
	d.startUpstream("sound", "g")
	var names []string
	routes := []testRoute{idempotentRoute("g")}
	server := &cvrawserver.Server{Respond: func(request *http.Request) string {
		var index int
		if _, err := fmt.Sscanf(request.URL.Path, "/%d/", &index); err != nil {
			return ""
		}
		id := request.Header.Get(headerNames.RequestID)
		if strings.HasSuffix(request.URL.Path, "/warm") {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerNames.RequestID, id)
		}
		return strings.ReplaceAll(responses[names[index]], anyID, id)
	}}
	address, err := server.Start()
	require.NoError(t, err)
	t.Cleanup(server.Stop)
	for name := range responses {
		group := fmt.Sprint("g", len(names))
		d.addresses[group] = address
		d.putUpstream(group, group, false, 1)
		routes = append(routes, testRoute{Prefix: fmt.Sprintf("/%d/", len(names)), Timeout: patience, Attempts: 1, Splits: map[string]float64{group: 1}})
		names = append(names, name)
	}
	d.publish(1, routes...)
	n := d.startNode()
	n.awaitReady(t)
	n.awaitStatus(t, "/safe/warm", http.StatusOK)
	for index, name := range names {
		t.Run(name, func(t *testing.T) {
			// The balancer reads the upstreams one after another.
			n.awaitStatus(t, fmt.Sprintf("/%d/warm", index), http.StatusOK)
			started := time.Now()
			response, body := n.request(t, http.MethodPost, fmt.Sprintf("/%d/x", index), fmt.Sprint("id-", index), int(patience.Milliseconds()))
			require.Equal(t, http.StatusBadGateway, response.StatusCode, "%v: %s", response.Header, body)
			require.Less(t, time.Since(started), patience, "the request was ended by its deadline")
		})
	}
}

// TestMalformedStatuses guards against a status that reaches a caller though HTTP has none like it.
func TestMalformedStatuses(t *testing.T) {
	responses := make(map[string]string)
	for name, line := range cvmalformed.StatusLines() {
		responses[name] = line + "\r\nTest-Id: " + anyID + "\r\nContent-Length: 4\r\n\r\ntext"
		responses[name+" after an interim"] = "HTTP/1.1 103 Early Hints\r\n\r\n" + responses[name]
	}
	checkMalformed(t, responses)
}

// TestMalformedLines guards against a response with a header or trailer that its upstream meant otherwise than the
// balancer reads it, or that others read otherwise again.
func TestMalformedLines(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nTest-Id: " + anyID + "\r\n"
	responses := make(map[string]string)
	for name, line := range cvmalformed.Lines() {
		responses[name] = start + line + "\r\nContent-Length: 4\r\n\r\ntext"
		responses[name+", last"] = start + "Content-Length: 4\r\n" + line + "\r\n\r\ntext"
		responses[name+", first"] = "HTTP/1.1 200 OK\r\n" + line + "\r\nTest-Id: " + anyID + "\r\nContent-Length: 4\r\n\r\ntext"
		responses[name+", of an interim"] = "HTTP/1.1 103 Early Hints\r\nA: b\r\n" + line + "\r\n\r\n" + start + "Content-Length: 4\r\n\r\ntext"
		responses[name+", of a trailer"] = start + "Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\nA: b\r\n" + line + "\r\n\r\n"
		responses[name+", of a rejection"] = "HTTP/1.1 503 Service Unavailable\r\nTest-Not-Run: 1\r\n" + line + "\r\nContent-Length: 4\r\n\r\ntext"
	}
	checkMalformed(t, responses)
}

// TestMalformedFraming guards against a body that ends elsewhere than its upstream meant.
func TestMalformedFraming(t *testing.T) {
	checkMalformed(t, cvmalformed.Framings("Test-Id: "+anyID+"\r\n"))
}
