package proof

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/io/standins/cvupstream"
)

const (
	slowCallers   = 1000
	responseBytes = 1200 << 10
	// A balancer may use the answerMemory of its settings, the same amount again for garbage not yet collected, its memory
	// without calls, and buffers for each caller.
	answerMemoryBytes = 16 << 20
	baseMemoryBytes   = 64 << 20
	callerMemoryBytes = 128 << 10
)

// TestSlowCallers guards against a balancer that uses more memory than its settings allow while callers do not read
// large responses. The limit is far below the size of all responses together. Each caller must get its complete response
// in the end.
func TestSlowCallers(t *testing.T) {
	directory := t.TempDir()
	service := "service: s\nhost: files.example\ngroup: listings\nslots: 1000\nconnections: 250\ntimeout: 5m\nheldAnswerLimit: 2MiB\nhedgeQuantile: 100%\nqueue: 2000\n"
	require.NoError(t, os.WriteFile(filepath.Join(directory, "comfreyvale.yaml"), []byte(service), 0o600))
	c := newClusterWithOptions(t, options{service: directory, settings: "answerMemory: 16MiB\n"})
	peak := 0.0
	done := make(chan struct{})
	var callers, sampler sync.WaitGroup
	sampler.Go(func() {
		for {
			peak = max(peak, c.usage(0).memory)
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
	for i := range slowCallers {
		callers.Go(func() {
			if err := readSlowly(c.caller(0), fmt.Sprintf("/sheets/%d", i%7)); err != nil {
				t.Error(err)
			}
		})
	}
	callers.Wait()
	close(done)
	sampler.Wait()
	t.Logf("peak %.0f MB; all responses together %.0f MB", peak/1e6, float64(slowCallers*responseBytes)/1e6)
	require.LessOrEqual(t, peak, float64(baseMemoryBytes+2*answerMemoryBytes+slowCallers*callerMemoryBytes))
}

// readSlowly waits before it reads the response, and checks that it is complete.
func readSlowly(address, path string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.(*net.TCPConn).SetReadBuffer(32 << 10); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(conn, "GET %s?bytes=%d HTTP/1.1\r\nHost: files.example\r\n\r\n", path, responseBytes); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if string(body) != string(cvupstream.FileContent(path, responseBytes)) {
		return fmt.Errorf("%s: wrong or incomplete response: status %d, %d bytes", path, response.StatusCode, len(body))
	}
	return nil
}
