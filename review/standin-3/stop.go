package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The figures are those of cedarstep-gw-grown: its slowest link of a machine, 14 Mbit/s, its longest drawing, and the deadline
// of drawing-fetch. Twelve callers who share the link have their answers in 3.7 s, within graceS and the deadline.
const (
	stopLinkBytesPerS = 14_000_000 / 8
	downloaders       = 12
	downloadBytes     = 540_000
	downloadDeadline  = 5 * time.Second
	readsPerS         = 20
	// furtherAfter is when a client sends its next request, counted from the stop signal: before the first is answered.
	furtherAfter = 2900 * time.Millisecond
)

// download reads the answer to a first request over a slow link and sends a second one meanwhile. It reports whether the
// connection ended without the whole first answer before the deadline, and what came.
func download(front, id string, headArrived func(), stopped <-chan struct{}) (cut bool, text string, err error) {
	headArrived = sync.OnceFunc(headArrived)
	defer headArrived()
	conn, err := ethernetDialer.Dial("tcp", front)
	if err != nil {
		return false, "", err
	}
	defer conn.Close()
	request := func(prefix, id string) string {
		return fmt.Sprintf("GET /%s/%s HTTP/1.1\r\nHost: racks.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\n\r\n", prefix, id, id, downloadDeadline.Milliseconds())
	}
	sent := time.Now()
	if _, err := io.WriteString(conn, request("drawing", id)); err != nil {
		return false, "", err
	}
	_ = conn.SetReadDeadline(sent.Add(downloadDeadline))
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false, "", err
	}
	head := fmt.Sprintf("status %d, signature %q, length %d, close %v", response.StatusCode, response.Header.Get("X-Server-Signature"), response.ContentLength, response.Close)
	headArrived()
	<-stopped
	signalled, further := time.Now(), false
	received := int64(0)
	for received < response.ContentLength && err == nil {
		var n int64
		n, err = io.CopyN(io.Discard, response.Body, min(stopLinkBytesPerS/downloaders/readsPerS, response.ContentLength-received))
		received += n
		time.Sleep(time.Second / readsPerS)
		if !further && !response.Close && time.Since(signalled) >= furtherAfter {
			further = true
			if _, err := io.WriteString(conn, request("lookup", id+"-further")); err != nil {
				head += fmt.Sprintf("; the further request: %v", err)
			}
		}
	}
	text = fmt.Sprintf("%s; %d bytes of the body came within %d ms of the request (further request sent: %v): %v", head, received, time.Since(sent).Milliseconds(), further, err)
	// A caller that gives up at its deadline is not cut.
	ended := err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && time.Since(sent) < downloadDeadline
	return ended && received < response.ContentLength, text, nil
}

// stop sends SIGTERM to a balancer whose callers receive long answers over slow links.
func stop(s *system, r *recorder, trouble bool) (int, error) {
	content := strings.Repeat("p", downloadBytes)
	for n := range 4 {
		answer := func(s *server, c *serverConn, request *http.Request) bool {
			r.add("server %s runs and answers %s", s.id, request.Header.Get("X-Request-Id"))
			if strings.HasPrefix(request.URL.Path, "/lookup/") {
				s.write(c, request, http.StatusOK, "free")
				return true
			}
			s.write(c, request, http.StatusOK, content)
			return true
		}
		if err := s.add(&server{id: fmt.Sprintf("i-%d", n), service: "install-svc", slots: 6, answer: answer}); err != nil {
			return cannotRun, err
		}
	}
	route := func(prefix, kind string) map[string]any {
		return map[string]any{
			"host": "racks.example", "pathPrefix": prefix, "kind": kind, "service": "install-svc", "maxAttempts": 2, "priority": 1,
			"timeoutMs": downloadDeadline.Milliseconds(), "targetLatencyMs": 1200,
		}
	}
	s.configure(map[string]any{"drawing-fetch": route("/drawing/", "download"), "slot-lookup": route("/lookup/", "safe")}, "install-svc")
	b, err := s.startBalancer(0)
	if err != nil {
		return cannotRun, err
	}
	time.Sleep(2 * time.Second)
	var heads, clients sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	var failed error
	stopped := make(chan struct{})
	heads.Add(downloaders)
	for n := range downloaders {
		clients.Go(func() {
			id := fmt.Sprintf("drawing-%d", n)
			wasCut, text, err := download(b.front, id, heads.Done, stopped)
			r.add("client of %s: %s", id, text)
			mu.Lock()
			defer mu.Unlock()
			if wasCut {
				cut++
			}
			if err != nil {
				failed = err
			}
		})
	}
	heads.Wait()
	time.Sleep(100 * time.Millisecond)
	if trouble {
		r.add("SIGTERM to %s", b.name)
		if err := b.command.Process.Signal(syscall.SIGTERM); err != nil {
			return cannotRun, err
		}
	}
	close(stopped)
	clients.Wait()
	if failed != nil {
		return cannotRun, failed
	}
	r.add("%d of %d answers were cut", cut, downloaders)
	if cut > 0 {
		return broken, nil
	}
	return held, nil
}
