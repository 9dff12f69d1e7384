package cvhttplog_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyvale/io/standins/cvlogserver"
	"comfreyvale/io/standins/cvmemlog"
	"comfreyvale/io/store/cvhttplog"
)

// TestLongBatch guards against a stream that cannot be read any more because its records are longer than one response may
// be: each read returns some of them, and together they return all.
func TestLongBatch(t *testing.T) {
	const records = 4
	server := httptest.NewServer((&cvlogserver.Server{Log: &cvmemlog.Log{}}).Handler())
	defer server.Close()
	log := &cvhttplog.Log{Address: server.URL}
	body := func(n int) []byte { return bytes.Repeat([]byte{byte(n)}, 2<<20) }
	for n := range records {
		_, err := log.Append(context.Background(), "s", body(n))
		require.NoError(t, err)
	}
	reads := 0
	for from, n := int64(1), 0; n < records; reads++ {
		batch, err := log.Read(context.Background(), "s", from, 0)
		require.NoError(t, err)
		require.NotEmpty(t, batch.Records())
		require.EqualValues(t, records+1, batch.StreamNext())
		for _, r := range batch.Records() {
			require.Equal(t, from, r.Offset())
			require.True(t, bytes.Equal(body(n), r.Body()))
			from++
			n++
		}
	}
	require.Greater(t, reads, 1)
}
