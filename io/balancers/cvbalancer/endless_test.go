package cvbalancer_test

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyvale/io/standins/cvmalformed"
	"comfreyvale/io/standins/cvrawserver"
)

// TestEndlessResponses guards against a response without end that is kept, or that a caller takes for a whole one: the
// caller gets a failure, or its connection breaks when the time of the request is up.
func TestEndlessResponses(t *testing.T) {
	responses := cvmalformed.EndlessResponses("")
	names := slices.Sorted(maps.Keys(responses))
	named := func(request *http.Request) cvmalformed.Endless {
		var index int
		if _, err := fmt.Sscanf(request.URL.Path, "/%d/", &index); err != nil {
			return cvmalformed.Endless{Start: "HTTP/1.1 204 No Content\r\n\r\n"}
		}
		return responses[names[index]]
	}
	s := newSystem(t, 1, 0, "retryShare: 0%\nretryBurst: 0\nejectFailures: 1000\ntimeout: 200ms\nheldAnswerLimit: 64KiB\n")
	server := &cvrawserver.Server{
		Respond: func(r *http.Request) string { return named(r).Start },
		Endless: func(r *http.Request) string { return named(r).Part },
	}
	s.startRaw(server)
	for index, name := range names {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/%d/x", s.callerAddresses[0], index), nil)
			require.NoError(t, err)
			request.Host = "h.example"
			response, err := s.client.Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			length, err := io.Copy(io.Discard, response.Body)
			require.True(t, err != nil || response.StatusCode >= http.StatusInternalServerError, "status %d, %d bytes", response.StatusCode, length)
		})
	}
}
