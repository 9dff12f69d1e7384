package main

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// poison plays a request that crashes each server that begins to run it and that comes again and again, while the
// machines are stopped and started in turn.
func poison(w *world) (bool, error) {
	const path = "/price/poison"
	var mu sync.Mutex
	var crashes []time.Time
	err := w.addServers("subasta", 27, 4, 8, usualWork(140*time.Millisecond), func(s *server) {
		s.intercept = func(s *server, c *call) bool {
			if c.target != path {
				return false
			}
			w.ran(s, c)
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			go s.crash(4 * time.Second)
			<-c.conn.ctx.Done()
			return true
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
	length := 100 * time.Second
	ctx, cancel := context.WithTimeout(w.ctx, length)
	defer cancel()
	if w.trouble {
		go func() {
			pause(ctx, 5*time.Second)
			for round := range 5 {
				w.rec.log("round %d of stops and starts", round+1)
				for _, m := range w.machines {
					m.signal(syscall.SIGTERM)
					pause(ctx, 2*time.Second)
				}
				pause(ctx, 7*time.Second)
			}
		}()
	}
	var wg sync.WaitGroup
	var prices counts
	var sent []outcome
	w.load(ctx, &wg, 100, func() *request { return get(lotPrice, newID()) }, prices.add)
	wg.Go(func() {
		// The request comes again at one machine after the other.
		for n := 0; ctx.Err() == nil; n++ {
			m := w.machines[n%len(w.machines)]
			if m.inRoute.Load() {
				o := outcome{request: get(lotPrice, "poison"), sentAt: time.Now()}
				inTouch := m.inTouch(o.sentAt)
				o.reply = w.send(m, o.request, time.Second)
				if inTouch {
					sent = append(sent, o)
				}
			}
			pause(ctx, time.Second)
		}
	})
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.rec.say("servers that the request crashed: %d; lookups by status %v", len(crashes), prices.status)
	if len(crashes) < 3 {
		return true, nil
	}
	late := 0
	for _, o := range sent {
		runs := w.runsOf(o.request.id)
		if o.sentAt.Sub(crashes[2]) > stableWindow && len(runs) > 0 {
			late++
			w.rec.say("%.1f s after the third crash: sent by %s, which is in touch, and run by %v", o.sentAt.Sub(crashes[2]).Seconds(), o.reply.machine.name, runs)
		}
	}
	w.rec.say("the request reached servers in %d retries later than %s after the third crash, sent by machines in touch; at most 3 are allowed", late, stableWindow)
	return late <= 3, nil
}
