package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// usualWork is work with a spread of 30%.
func usualWork(mean time.Duration) func(c *call) time.Duration {
	return func(*call) time.Duration {
		return time.Duration(float64(mean) * (1 + 0.3*(2*rand.Float64()-1)))
	}
}

// outcome is one attempt of a client.
type outcome struct {
	request *request
	reply   reply
	sentAt  time.Time
}

// load sends requests in an open loop until the context ends, and passes each outcome to done. A client tries once more
// after a promise that its request has not run, under a new id.
func (w *world) load(ctx context.Context, wg *sync.WaitGroup, perSecond float64, next func() *request, done func(outcome)) {
	wg.Go(func() {
		for ctx.Err() == nil {
			pause(ctx, time.Duration(rand.ExpFloat64()/perSecond*float64(time.Second)))
			if ctx.Err() != nil {
				return
			}
			wg.Go(func() {
				begun := time.Now()
				for range 2 {
					q := next()
					if time.Since(begun) > q.deadline/2 {
						return
					}
					o := outcome{request: q, sentAt: time.Now()}
					o.reply = w.send(w.pick(), q, 3*time.Second)
					done(o)
					if o.reply.status != http.StatusServiceUnavailable && o.reply.status != http.StatusTooManyRequests {
						return
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	})
}

func get(r route, path string) *request {
	return &request{id: newID(), method: http.MethodGet, host: r.host, path: r.prefix + path, deadline: time.Duration(r.timeoutMs) * time.Millisecond}
}

func post(r route, path string, body []byte) *request {
	q := get(r, path)
	q.method, q.body = http.MethodPost, body
	return q
}

// counts counts the answers of clients.
type counts struct {
	mu     sync.Mutex
	status map[int]int
}

func (c *counts) add(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status == nil {
		c.status = make(map[int]int)
	}
	c.status[o.reply.status]++
}
