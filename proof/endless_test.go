package proof

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/io/standins/cvmalformed"
	"comfreyvale/io/standins/cvrawserver"
)

// TestEndlessUpstreams guards against a balancer that uses more memory than its settings allow while upstreams send
// responses without end, to callers of which some read nothing. None of them may take one for a whole response.
func TestEndlessUpstreams(t *testing.T) {
	const (
		duration        = 4 * time.Second
		slowEach        = 20
		slowReadTimeout = duration / 2
	)
	responses := cvmalformed.EndlessResponses("")
	names := slices.Sorted(maps.Keys(responses))
	named := func(request *http.Request) cvmalformed.Endless {
		var index int
		if _, err := fmt.Sscanf(request.URL.Path, "/%d", &index); err != nil {
			return cvmalformed.Endless{Start: "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"}
		}
		return responses[names[index]]
	}
	server := &cvrawserver.Server{
		Respond: func(r *http.Request) string { return named(r).Start },
		Endless: func(r *http.Request) string { return named(r).Part },
	}
	address, err := server.Start()
	require.NoError(t, err)
	defer server.Stop()
	directory := t.TempDir()
	service := "service: s\nhost: h.example\ngroup: raw\nslots: 1000\nconnections: 250\ntimeout: 1s\nejectFailures: 1000\nretryShare: 0%\nretryBurst: 0\nqueue: 2000\n"
	require.NoError(t, os.WriteFile(filepath.Join(directory, "comfreyvale.yaml"), []byte(service), 0o600))
	c := newClusterWithOptions(t, options{service: directory, settings: "answerMemory: 16MiB\n"})
	c.put(c.listURL()+"/vms/raw", map[string]any{"group": "raw", "dataCentre": "dc-1", "address": address})
	send := func(path string) (int, error) {
		request, err := http.NewRequest(http.MethodPost, "http://"+c.caller(0)+path, nil)
		require.NoError(t, err)
		request.Host = "h.example"
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return response.StatusCode, err
	}
	require.Eventually(t, func() bool { _, _ = send("/"); return server.Received() > 0 }, readyTimeout, 20*time.Millisecond)
	var callers sync.WaitGroup
	end := time.Now().Add(duration)
	for index, name := range names {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				if status, err := send(fmt.Sprintf("/%d/%d", index, n)); err == nil && status < http.StatusInternalServerError {
					t.Errorf("%s: status %d", name, status)
				}
			}
		})
		for range slowEach {
			callers.Go(func() {
				conn, err := net.Dial("tcp", c.caller(0))
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				fmt.Fprintf(conn, "POST /%d/slow HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n", index)
				time.Sleep(slowReadTimeout)
			})
		}
	}
	peak := 0.0
	for time.Now().Before(end) {
		peak = max(peak, c.usage(0).memory)
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	t.Logf("peak %.0f MB beside %d responses", peak/1e6, server.Received())
	require.LessOrEqual(t, peak, float64(baseMemoryBytes+2*answerMemoryBytes+len(names)*(slowEach+1)*callerMemoryBytes))
}
