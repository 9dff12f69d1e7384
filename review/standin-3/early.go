package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	earlyTimeout  = 2500 * time.Millisecond
	earlyDeadline = 4 * time.Second
	// earlyGrace is the half second of the rule.
	earlyGrace = 500 * time.Millisecond
	// linkBytesPerS is the slowest link of the pages, 10 Mbit/s.
	linkBytesPerS = 10_000_000 / 8
	// earlyBody is an eighth of maxBodyBytes.
	earlyBody = 8 << 20
	// A server that has answered reads the rest as fast as that link.
	readInterval = 50 * time.Millisecond
	readSlice    = linkBytesPerS / 20
	earlyRounds  = 6
	earlyAtOnce  = 2
)

// answerEarly answers a request before it has read its body, keeps the connection and reads on later, piece by piece.
func answerEarly(r *recorder) func(s *server, c *serverConn, request *http.Request) bool {
	return func(s *server, c *serverConn, request *http.Request) bool {
		id := request.Header.Get("X-Request-Id")
		s.write(c, request, http.StatusBadRequest, "not wanted: "+id)
		r.add("server %s answered %s before it had read the body", s.id, id)
		for {
			if _, err := io.CopyN(io.Discard, request.Body, readSlice); err == io.EOF {
				r.add("server %s has read the whole body of %s", s.id, id)
				return true
			} else if err != nil {
				r.add("server %s: the body of %s ended: %v", s.id, id, err)
				return false
			}
			time.Sleep(readInterval)
		}
	}
}

func early(s *system, r *recorder, trouble bool) (int, error) {
	for n := range 6 {
		found := &server{id: fmt.Sprintf("i-%d", n), service: "ingest", slots: 4, answer: answerWhole(20 * time.Millisecond)}
		if trouble {
			found.answer = answerEarly(r)
		}
		if err := s.add(found); err != nil {
			return cannotRun, err
		}
	}
	s.configure(map[string]any{"bundles": map[string]any{
		"host": "bundles.example", "pathPrefix": "/up/", "kind": "upload", "service": "ingest", "maxAttempts": 2, "priority": 1,
		"timeoutMs": earlyTimeout.Milliseconds(), "targetLatencyMs": 1200,
	}}, "ingest")
	b, err := s.startBalancer(0)
	if err != nil {
		return cannotRun, err
	}
	time.Sleep(2 * time.Second)
	if first := send(b.front, "POST", "/up/0", "bundles.example", "first", earlyDeadline, earlyDeadline, []byte("short")); first.status == 0 {
		return cannotRun, fmt.Errorf("a short request: %s", first)
	}
	body := bytes.Repeat([]byte("b"), earlyBody)
	var mu sync.Mutex
	late, all := 0, 0
	for round := range earlyRounds {
		var group sync.WaitGroup
		for n := range earlyAtOnce {
			group.Go(func() {
				id := fmt.Sprintf("upload-%d-%d", round, n)
				r.add("client sends %s", id)
				found := send(b.front, "POST", "/up/"+id, "bundles.example", id, earlyDeadline, earlyDeadline, body)
				r.add("client %s: %s", id, found)
				mu.Lock()
				defer mu.Unlock()
				all++
				if found.status == 0 || found.took > earlyTimeout+earlyGrace {
					late++
				}
			})
		}
		group.Wait()
	}
	r.add("%d of %d uploads had no answer half a second after their route's timeoutMs", late, all)
	if late >= 8 && 2*late > all {
		return broken, nil
	}
	return held, nil
}
