package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { plays["early-answer"] = playEarlyAnswer }

// playEarlyAnswer sends long requests, whose clients wait for twice as long as the timeoutMs of their route. With the
// disruption, servers answer them before they have read the body, keep the connection and read on later.
func playEarlyAnswer(w *world) (breaches []string, err error) {
	const (
		requests = 8
		size     = 10 << 20
		timeout  = 4 * time.Second
		// A server reads on at 10 Mbit/s, the rate of the slowest links of the pages.
		pause, step = 100 * time.Millisecond, 125_000
	)
	w.site = skjalReykjavikGrown
	for n := range 16 {
		_, err := w.startServer(fmt.Sprintf("i-%d", n+1), "ingest", 20*time.Millisecond, func(s *server) {
			s.window = 256 << 10
			s.onRequest = func(c *serverConn, request *http.Request) bool {
				if !w.trouble {
					return false
				}
				id := request.Header.Get("X-Request-Id")
				s.run(id, request)
				s.answer(c, id)
				w.record("server %s: has answered request %s and reads on", s.id, id)
				buffer := make([]byte, step)
				for total := 0; ; {
					time.Sleep(pause)
					for got := 0; got < step; {
						n, err := request.Body.Read(buffer[got:])
						got += n
						total += n
						if err != nil {
							w.record("server %s: the body of request %s ended after %d bytes: %v", s.id, id, total, err)
							return true
						}
					}
				}
			}
		})
		if err != nil {
			return nil, err
		}
	}
	w.configure(map[string]any{"bundle": route("/bundle/", "upload", "ingest", timeout)}, "ingest")
	if err := w.startBalancers(1); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	body := make([]byte, size)
	results := make([]result, requests)
	var group sync.WaitGroup
	for n := range requests {
		group.Go(func() {
			id := fmt.Sprintf("bundle-%02d", n)
			results[n] = w.send(w.balancer[0], id, http.MethodPost, "/bundle/"+id, body, 2*timeout, 2*timeout)
			w.record("%s", results[n])
		})
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	late := 0
	for _, r := range results {
		if r.err != nil || r.took > timeout+500*time.Millisecond {
			late++
		}
	}
	if late >= 8 && 4*late > requests {
		breaches = append(breaches, fmt.Sprintf("CONFIG: %d of %d requests had no final answer 0.5 s after their route's timeoutMs of %d", late, requests, timeout.Milliseconds()))
	}
	return breaches, nil
}
