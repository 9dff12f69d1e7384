package cvdispatcher_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/core/cvprobing"
	"comfreyvale/core/cvservice"
	"comfreyvale/io/standins/cvrawserver"
	"comfreyvale/io/upstreams/cvdispatcher"
)

// TestEndlessProbe guards against a probe that keeps all of a response without end.
func TestEndlessProbe(t *testing.T) {
	const timeout = 20 * time.Second
	server := &cvrawserver.Server{
		Respond: func(*http.Request) string { return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" },
		Endless: func(*http.Request) string { return "1\r\n \r\n" },
	}
	address, err := server.Start()
	require.NoError(t, err)
	defer server.Stop()
	service, err := cvservice.Parse("file", []byte("service: s\nhost: h.example\ngroup: g\n"))
	require.NoError(t, err)
	d := &cvdispatcher.Dispatcher{NewPicker: func(*cvservice.Service) comfreyvale.Picker { return &cvprobing.Picker{ProbesPerAttempt: 1} }}
	d.Update(time.Now(), service, []comfreyvale.VM{comfreyvale.NewVM("u", "g", "dc", address, false)}, 1)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	// An attempt allows one probe.
	_, err = d.Acquire(ctx, service.Class(http.MethodGet, "/"), nil, time.Now().Add(timeout))
	require.NoError(t, err)
	d.Probe(ctx)
	sent := int64(-1)
	require.Eventually(t, func() bool {
		before := sent
		sent = server.Sent()
		return sent > 0 && sent == before
	}, timeout, 100*time.Millisecond, "the connection is closed")
	require.Less(t, sent, int64(cvrawserver.MaxEndlessBytes))
}
