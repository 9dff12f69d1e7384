package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { plays["late-read"] = playLateRead }

// playLateRead sends long requests to two balancers, one of which is stopped meanwhile as planned work. Servers begin to
// work on each request at once and answer it some time later. With the disruption, they read its body only then.
func playLateRead(w *world) (breaches []string, err error) {
	const (
		requests = 8
		size     = 10 << 20
		timeout  = 4 * time.Second
		later    = 2500 * time.Millisecond
		grace    = 6 * time.Second
	)
	w.site = skjalReykjavikGrown
	for n := range 16 {
		_, err := w.startServer(fmt.Sprintf("i-%d", n+1), "ingest", 20*time.Millisecond, func(s *server) {
			s.window = 256 << 10
			s.onRequest = func(c *serverConn, request *http.Request) bool {
				id := request.Header.Get("X-Request-Id")
				s.run(id, request)
				if w.trouble {
					time.Sleep(later)
				}
				n, err := io.Copy(io.Discard, request.Body)
				if !w.trouble {
					time.Sleep(later)
				}
				if err != nil {
					w.record("server %s: the body of request %s ended after %d of %d bytes: %v", s.id, id, n, request.ContentLength, err)
					return true
				}
				s.answer(c, id)
				return true
			}
		})
		if err != nil {
			return nil, err
		}
	}
	w.configure(map[string]any{"bundle": route("/bundle/", "upload", "ingest", timeout)}, "ingest")
	if err := w.startBalancers(2); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	body := make([]byte, size)
	results := make([]result, requests)
	var group sync.WaitGroup
	for n := range requests {
		group.Go(func() {
			id := fmt.Sprintf("bundle-%02d", n)
			results[n] = w.send(w.balancer[0], id, http.MethodPost, "/bundle/"+id, body, timeout, 2*timeout)
			w.record("%s", results[n])
		})
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	w.record("platform: SIGTERM for %s, SIGKILL in %s", w.balancer[0].name, grace)
	w.balancer[0].command.Process.Signal(syscall.SIGTERM)
	term := time.Now()
	group.Wait()
	for _, r := range results {
		runs := w.runsOf(r.id)
		// The request was sent before the SIGTERM. It ended while its server was at work on it, far from its deadline and from
		// the last sixth of the grace period.
		ended := r.sentAt.Add(r.took)
		ownAnswer := r.err != nil || r.status != http.StatusOK && r.signature == ""
		if len(runs) > 0 && ended.Before(runs[0].at.Add(later)) && ownAnswer && ended.After(term) && r.took < timeout*7/10 && ended.Sub(term) < grace*5/6 {
			breaches = append(breaches, fmt.Sprintf("LOST: request %s was broken off %d ms after it was sent, while %s was at work on it; the client got %d", r.id, r.took.Milliseconds(), runs[0].server, r.status))
		}
	}
	// The servers notice at their next read.
	time.Sleep(2 * time.Second)
	return breaches, nil
}
