package cvadminclient_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyvale/io/operators/cvadminclient"
	"comfreyvale/io/standins/cvrawserver"
)

// TestEndlessResponses guards against a client that keeps all of a response without end: it must close the connection long
// before the balancer stops sending.
func TestEndlessResponses(t *testing.T) {
	cases := map[string]struct{ start, part string }{
		"objects":  {`[{"a":"b"}`, `,{"a":"b"}`},
		"a field":  {`{"vm":"`, "a"},
		"a text":   {`[{"a":"`, "a"},
		"protobuf": {"\x0a\xff\xff\xff\xff\x07", "a"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := &cvrawserver.Server{
				Respond: func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" + c.start },
				Endless: func(*http.Request) string { return c.part },
			}
			address, err := server.Start()
			require.NoError(t, err)
			defer server.Stop()
			c := &cvadminclient.Client{Addresses: []string{address}}
			_, err = c.Status(context.Background(), address)
			require.Error(t, err)
			_, err = c.Explain(context.Background(), address, "s")
			require.Error(t, err)
			_, err = c.Checkpoint(context.Background())
			require.Error(t, err)
			require.Less(t, server.Sent(), int64(cvrawserver.MaxEndlessBytes))
		})
	}
}
