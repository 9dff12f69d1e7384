package cvhttplog_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/io/standins/cvrawserver"
	"comfreyvale/io/store/cvhttplog"
)

// TestEndlessResponses guards against a client that keeps all of a response without end: it must close the connection long
// before the service stops sending.
func TestEndlessResponses(t *testing.T) {
	record := `,{"offset":2,"body":"` + strings.Repeat("YQYQ", 1<<12) + `"}`
	cases := map[string]struct {
		start, part string
		// partial means that the response holds records, of which a read may return the first.
		partial bool
	}{
		"records":                  {`{"first":1,"next":9,"records":[{"offset":1,"body":"YQ=="}`, record, true},
		"records before the end":   {`{"records":[{"offset":1,"body":"YQ=="}`, record, false},
		"a record":                 {`{"first":1,"next":9,"records":[{"offset":1,"body":"`, "YQYQ", false},
		"a number":                 {`{"first":1`, "1", false},
		"a field that is no field": {`{"first":1,"`, "a", false},
		"blanks":                   {"", " ", false},
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
			log := &cvhttplog.Log{Address: "http://" + address}
			batch, err := log.Read(context.Background(), "s", 1, 0)
			if c.partial {
				require.NoError(t, err)
				require.EqualValues(t, 9, batch.StreamNext())
				require.Equal(t, "a", string(batch.Records()[0].Body()))
			} else {
				require.Equal(t, comfreyvale.KindUnavailable, cvfault.KindOf(err), "%v", err)
			}
			_, err = log.Append(context.Background(), "s", []byte("a"))
			require.Equal(t, comfreyvale.KindUncertain, cvfault.KindOf(err), "%v", err)
			require.Less(t, server.Sent(), int64(cvrawserver.MaxEndlessBytes))
		})
	}
}
