package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// lateRejection are additional bytes that a faulty server sends behind a complete answer: those of the platform's example
// of a server that sheds.
const lateRejection = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

func init() { plays["late-extra"] = playLateExtra }

// playLateExtra sends requests that may run once, one after the other. With the disruption, three of five servers follow
// one answer in 34 by additional bytes, late, where the next answer of the connection is due. They do so for five seconds
// at a time, with three seconds between.
func playLateExtra(w *world) (breaches []string, err error) {
	const (
		requests, servers, faulty, every = 1000, 5, 3, 34
		on, turn                         = 5 * time.Second, 8 * time.Second
	)
	var mu sync.Mutex
	answered := 0
	for n := range servers {
		_, err := w.startServer(fmt.Sprintf("i-%d", n+1), "orders", 20*time.Millisecond, func(s *server) {
			s.onRequest = func(c *serverConn, request *http.Request) bool {
				io.Copy(io.Discard, request.Body)
				id := request.Header.Get("X-Request-Id")
				s.run(id, request)
				if s.answer(c, id) != nil {
					return true
				}
				mu.Lock()
				defer mu.Unlock()
				inTrouble := w.trouble && n < faulty && time.Since(w.began)%turn < on
				if inTrouble {
					answered++
				}
				if inTrouble && answered%every == 0 {
					c.late = []byte(lateRejection)
				}
				return true
			}
		})
		if err != nil {
			return nil, err
		}
	}
	w.configure(map[string]any{"order": route("/order/", "unsafe", "orders", 3*time.Second)}, "orders")
	if err := w.startBalancers(1); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	for n := range requests {
		id := fmt.Sprintf("order-%04d", n)
		w.record("%s", w.send(w.balancer[0], id, http.MethodPost, "/order/"+id, []byte("one rack"), 3*time.Second, 4*time.Second))
	}
	time.Sleep(time.Second)
	for id := range w.sent {
		if runs := w.runsOf(id); len(runs) > 1 {
			breaches = append(breaches, fmt.Sprintf("TWICE: request %s, which may run once, ran %d times, at %s and %s", id, len(runs), runs[0].server, runs[1].server))
		}
	}
	return breaches, nil
}
