package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The doses are those of the users' small deployment: garble "extra late" with share 0.6 (16 of 27 servers) and x 0.03 for 5 s, and
	// srv_grey "shed all" with x 0.55.
	extraServers = 16
	extraAnswers = 0.03
	shedShare    = 0.55
)

// lateRejection plays servers that reject part of their requests, and some of which send a second copy of an answer
// late, where the next answer is expected. A request that may run once must not run twice.
func lateRejection(w *world) (bool, error) {
	var active atomic.Bool
	count := 0
	err := w.addServers("subasta", subastaServers, 4, 8, usualWork(140*time.Millisecond), func(s *server) {
		count++
		garbles := count <= extraServers
		s.intercept = func(s *server, c *call) bool {
			if !active.Load() || rand.Float64() >= shedShare {
				return false
			}
			w.rec.log("server %s rejects %s", s.id, c.id)
			answer := s.shed(c)
			if _, err := c.conn.Write(answer); err != nil {
				c.conn.cancel()
				return true
			}
			c.conn.pending = s.extra(s, c, answer)
			return true
		}
		s.extra = func(s *server, c *call, answer []byte) []byte {
			if !active.Load() || !garbles || rand.Float64() >= extraAnswers {
				return nil
			}
			return answer
		}
	})
	if err != nil {
		return false, err
	}
	w.configure(7, lotPrice, lotReserve)
	if err := w.startMachines(6, 804); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithTimeout(w.ctx, 82*time.Second)
	defer cancel()
	if w.trouble {
		go func() {
			for range 9 {
				pause(ctx, 3*time.Second)
				w.rec.log("trouble begins")
				active.Store(true)
				pause(ctx, 5*time.Second)
				active.Store(false)
				w.rec.log("trouble ends")
			}
		}()
	}
	var wg sync.WaitGroup
	var prices, reserves counts
	var mu sync.Mutex
	var unsafe []outcome
	w.load(ctx, &wg, 162, func() *request { return get(lotPrice, newID()) }, prices.add)
	w.load(ctx, &wg, 68, func() *request { return post(lotReserve, newID(), make([]byte, 1200)) }, func(o outcome) {
		reserves.add(o)
		mu.Lock()
		unsafe = append(unsafe, o)
		mu.Unlock()
	})
	wg.Wait()
	time.Sleep(time.Second)
	twice, refused := 0, 0
	for _, o := range unsafe {
		runs := w.runsOf(o.request.id)
		if len(runs) > 1 {
			twice++
			w.rec.say("TWICE: %s ran on %v; the client got %s", o.request.id, runs, o.reply)
		}
		if len(runs) > 0 && promises(o.reply.status) {
			refused++
			w.rec.say("REFUSED: %s ran on %v; the client got %s", o.request.id, runs, o.reply)
		}
	}
	w.rec.say("lookups by status %v, reservations by status %v; reservations that ran twice: %d, that ran and were refused: %d", prices.status, reserves.status, twice, refused)
	return twice == 0, nil
}

// promises reports whether a status says that a request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
