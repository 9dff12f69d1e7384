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
	slowCallers     = 1000
	slowAnswerBytes = 1200 << 10
	// A balancer may take its answer memory, as much again before the garbage is collected, its own size without calls,
	// and buffers for each caller.
	answerMemory   = 16 << 20
	ownMemory      = 64 << 20
	memoryOfCaller = 128 << 10
)

// TestSlowCallers sends big answers to callers that read nothing for a while: the balancer's memory stays within what
// its settings say, far below all answers together, and each caller gets its whole answer in the end.
func TestSlowCallers(t *testing.T) {
	directory := t.TempDir()
	service := "service: s\nhost: files.example\ngroup: listings\nslots: 1000\nconnections: 250\ntimeout: 5m\nheldAnswerLimit: 2MiB\nhedgeQuantile: 100%\nqueue: 2000\n"
	require.NoError(t, os.WriteFile(filepath.Join(directory, "comfreyvale.yaml"), []byte(service), 0o600))
	c := newClusterOf(t, options{service: directory, settings: "answerMemory: 16MiB\n"})
	peak := 0.0
	done := make(chan struct{})
	var group, sampler sync.WaitGroup
	sampler.Go(func() {
		for {
			peak = max(peak, c.sample(0).memory)
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
	for i := range slowCallers {
		group.Go(func() {
			if err := readSlowly(c.caller(0), fmt.Sprintf("/sheets/%d", i%7)); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	close(done)
	sampler.Wait()
	t.Logf("peak %.0f MB; all answers together %.0f MB", peak/1e6, float64(slowCallers*slowAnswerBytes)/1e6)
	require.LessOrEqual(t, peak, float64(ownMemory+2*answerMemory+slowCallers*memoryOfCaller))
}

// readSlowly asks for a file, reads nothing for a while, and then checks that it is whole.
func readSlowly(address, path string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.(*net.TCPConn).SetReadBuffer(32 << 10); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(conn, "GET %s?bytes=%d HTTP/1.1\r\nHost: files.example\r\n\r\n", path, slowAnswerBytes); err != nil {
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
	if string(body) != string(cvupstream.Content(path, slowAnswerBytes)) {
		return fmt.Errorf("%s: status %d, %d bytes", path, response.StatusCode, len(body))
	}
	return nil
}
