package cvtransport_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/io/balancers/cvboundedbody"
	"comfreyvale/io/balancers/cvtransport"
	"comfreyvale/io/standins/cvmalformed"
	"comfreyvale/io/standins/cvrawserver"
)

// TestEndlessResponses guards against a client that reads a response without end: it must close the connection long before
// the server stops sending.
func TestEndlessResponses(t *testing.T) {
	const (
		limit   = 1 << 20
		timeout = time.Minute
	)
	for name, c := range cvmalformed.EndlessResponses("") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := &cvrawserver.Server{
				Respond: func(*http.Request) string { return c.Start },
				Endless: func(*http.Request) string { return c.Part },
			}
			address, err := server.Start()
			require.NoError(t, err)
			defer server.Stop()
			transport := cvtransport.New(&http.Transport{})
			defer transport.CloseIdleConnections()
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
			require.NoError(t, err)
			response, err := (&http.Client{Transport: transport}).Do(request)
			if err == nil {
				_, err = cvboundedbody.Read(response.Body, limit)
				response.Body.Close()
			}
			require.Error(t, err)
			require.NoError(t, ctx.Err())
			require.Less(t, server.Sent(), int64(cvrawserver.MaxEndlessBytes))
		})
	}
}
