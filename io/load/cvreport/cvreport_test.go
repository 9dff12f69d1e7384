package cvreport_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/io/load/cvreport"
)

// TestWriteJSON checks that reports can be written with and without calls.
func TestWriteJSON(t *testing.T) {
	cases := map[string]struct {
		add      func(r *cvreport.Report)
		expected string
	}{
		"no calls": {func(*cvreport.Report) {}, `{"kinds":[{"kind":"all","calls":0,"results":{},"p50Ms":0,"p99Ms":0,"p999Ms":0}],"causes":{}}`},
		"a refused call": {
			func(r *cvreport.Report) { r.Add("a", cvreport.Refused, time.Second) },
			`{"kinds":[{"kind":"a","calls":1,"results":{"refused":1},"p50Ms":0,"p99Ms":0,"p999Ms":0},{"kind":"all","calls":1,"results":{"refused":1},"p50Ms":0,"p99Ms":0,"p999Ms":0}],"causes":{}}`,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := cvreport.New()
			c.add(r)
			var out bytes.Buffer
			require.NoError(t, r.WriteJSON(&out))
			require.JSONEq(t, c.expected, out.String())
		})
	}
}
