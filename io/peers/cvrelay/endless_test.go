package cvrelay_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"comfreyvale"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/peers/cvrelay"
	"comfreyvale/io/standins/cvrawserver"
)

// TestLongResponses guards against a balancer that keeps all of a response without end, and against the beginning of a
// response beyond the limit that is taken for the whole.
func TestLongResponses(t *testing.T) {
	// A message of many parts is valid wherever it ends between two of them, as at the limit.
	record, err := proto.Marshal(&cvwire.DirectoryRecords{Kept: true, Records: []*cvwire.DirectoryRecord{{Key: "kk"}}})
	require.NoError(t, err)
	valid := bytes.Repeat(record, (20<<20)/len(record))
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, err = w.Write(valid)
	require.NoError(t, err)
	require.NoError(t, w.Close())
	const head = "HTTP/1.1 200 OK\r\n"
	cases := map[string]struct{ start, part string }{
		"without end":              {head + "\r\n", "a"},
		"chunks without end":       {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
		"parts without end":        {head + "\r\n", string(record)},
		"beyond the limit":         {fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(valid), valid), ""},
		"compressed, beyond limit": {fmt.Sprintf("%sContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%s", head, compressed.Len(), compressed.String()), ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := &cvrawserver.Server{
				Respond: func(*http.Request) string { return c.start },
				Endless: func(*http.Request) string { return c.part },
			}
			address, err := server.Start()
			require.NoError(t, err)
			defer server.Stop()
			_, err = (&cvrelay.Relay{}).FetchRecords(context.Background(), address, "d", comfreyvale.NewPosition(0, 1))
			require.Error(t, err)
			_, err = (&cvrelay.Relay{}).FetchSnapshot(context.Background(), address, 1)
			require.Error(t, err)
			require.Less(t, server.Sent(), int64(cvrawserver.MaxEndlessBytes))
		})
	}
}
