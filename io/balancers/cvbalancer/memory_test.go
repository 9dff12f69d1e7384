package cvbalancer_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRequestBodiesExceedMemory guards against request bodies that together take more memory than is meant for them: a
// request that finds no room is refused unrun, and accepted when there is room again.
func TestRequestBodiesExceedMemory(t *testing.T) {
	const held, memory = 1 << 20, "requestMemory: 6MiB\n"
	s := newSystemWith(t, 1, 1, "requestLimit: 16MiB\n", memory)
	send := func(size int, work string) (status int, cause, ran string) {
		response, err := s.client.Do(s.order(t, size, work))
		require.NoError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		_, cause, _ = strings.Cut(string(body), `"cause":"`)
		cause, _, _ = strings.Cut(cause, `"`)
		return response.StatusCode, cause, response.Header.Get("Comfreyvale-Ran")
	}
	done := make(chan int, 1)
	go func() {
		response, err := s.client.Do(s.order(t, held, "1500"))
		if err != nil {
			done <- 0
			return
		}
		response.Body.Close()
		done <- response.StatusCode
	}()
	s.awaitRunning(0)
	status, cause, ran := send(held, "1")
	require.Equal(t, []any{http.StatusServiceUnavailable, "memoryFull", "no"}, []any{status, cause, ran})
	status, _, _ = send(1000, "1")
	require.Equal(t, http.StatusOK, status, "small ones have room")
	require.Equal(t, http.StatusOK, <-done)
	status, _, _ = send(held, "1")
	require.Equal(t, http.StatusOK, status)
}

// order returns a request with a body of a size and a work time in milliseconds.
func (s *system) order(t *testing.T, size int, work string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.callerAddresses[0]+"/orders?workMs="+work, strings.NewReader(strings.Repeat("x", size)))
	require.NoError(t, err)
	request.Host = "h.example"
	return request
}
