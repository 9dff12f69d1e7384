package cvhttpvmlist_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/io/standins/cvrawserver"
	"comfreyvale/io/store/cvhttpvmlist"
)

// TestEndlessResponses guards against a client that keeps all of a response without end: it must close the connection long
// before the service stops sending.
func TestEndlessResponses(t *testing.T) {
	cases := map[string]struct{ start, part string }{
		"entries": {`[{"name":"a"}`, `,{"name":"a"}`},
		"a name":  {`[{"name":"`, "a"},
		"blanks":  {"", " "},
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
			_, err = (&cvhttpvmlist.List{Address: "http://" + address}).List(context.Background())
			require.Equal(t, comfreyvale.KindUnavailable, cvfault.KindOf(err), "%v", err)
			require.Less(t, server.Sent(), int64(cvrawserver.MaxEndlessBytes))
		})
	}
}
