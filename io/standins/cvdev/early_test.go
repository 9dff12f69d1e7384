package cvdev

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

const (
	earlyService = "service: s\nhost: h.example\ngroup: g\nretryShare: 0%\nretryBurst: 0\nejectFailures: 1000\n"
	// earlyBodyBytes is more than a connection buffers of a request that nobody reads.
	earlyBodyBytes = 1 << 20
)

// startDev runs a deployment with one service until the test ends, and returns it with the addresses for callers.
func startDev(t *testing.T, service string) (d *Dev, callers []string) {
	directory := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(directory, "comfreyvale.yaml"), []byte(service), 0o600))
	read, write := io.Pipe()
	d = &Dev{Directories: []string{directory}, Out: write, Logger: &log.Logger{Handler: discard.New()}}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		defer write.Close()
		done <- d.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-done)
	})
	address := regexp.MustCompile(`callers http://([^,]+),`)
	for lines := bufio.NewScanner(read); len(callers) < balancerCount && lines.Scan(); {
		if found := address.FindStringSubmatch(lines.Text()); found != nil {
			callers = append(callers, found[1])
		}
	}
	require.Len(t, callers, balancerCount)
	return d, callers
}

// TestEarlyResponses guards against a part of a response that a caller takes for the whole: all upstreams break their
// responses off without reading the requests.
func TestEarlyResponses(t *testing.T) {
	const repetitions = 10
	d, callers := startDev(t, earlyService)
	vms, err := d.vmList.List(context.Background())
	require.NoError(t, err)
	body := strings.Repeat("b", earlyBodyBytes)
	for _, place := range []string{"midHeaders", "midBody", "midChunk", "beforeFinalChunk", "wrongLength", "unframed"} {
		t.Run(place, func(t *testing.T) {
			for _, v := range vms {
				if v.Group() == "g" {
					response, err := http.Post("http://"+v.Address()+"/control", "application/json", strings.NewReader(fmt.Sprintf(`{"break":%q}`, place)))
					require.NoError(t, err)
					response.Body.Close()
				}
			}
			before := countRuns(d)
			for n := range repetitions {
				request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/orders/%s-%d", callers[n%len(callers)], place, n), strings.NewReader(body))
				require.NoError(t, err)
				request.Host = "h.example"
				response, err := http.DefaultClient.Do(request)
				require.NoError(t, err)
				content, err := io.ReadAll(response.Body)
				response.Body.Close()
				require.NoError(t, err)
				require.Equal(t, http.StatusBadGateway, response.StatusCode, string(content))
				require.Equal(t, "unknown", response.Header.Get("Comfreyvale-Ran"))
			}
			require.Equal(t, before+repetitions, countRuns(d))
		})
	}
}

// countRuns returns how many requests all upstreams have run.
func countRuns(d *Dev) int {
	runs := 0
	for _, u := range d.groups["g"].Upstreams() {
		runs += len(u.Runs())
	}
	return runs
}
