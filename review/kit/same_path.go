package main

import (
	"context"
	"sync"
	"time"
)

const (
	// The dose of srv_flap in the small deployment's day trouble-1: share, period and length.
	flapShare  = 0.123
	flapPeriod = 1950 * time.Millisecond
	flapLength = 6290 * time.Millisecond
)

// samePath plays servers that go down and up, while many callers look the same thing up. That lookup must not be served
// less than a quarter as often as all requests.
func samePath(w *world) (bool, error) {
	if err := w.addServers("subasta", 27, 4, 8, usualWork(140*time.Millisecond), nil); err != nil {
		return false, err
	}
	w.configure(7, lotPrice, lotReserve)
	if err := w.startMachines(6, 804); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithTimeout(w.ctx, 62*time.Second)
	defer cancel()
	if w.trouble {
		go func() {
			for range 2 {
				pause(ctx, time.Second)
				for begun := time.Now(); time.Since(begun) < flapLength; pause(ctx, flapPeriod) {
					for _, s := range w.servers[:int(flapShare*float64(len(w.servers)))] {
						go s.crash(flapPeriod / 2)
					}
				}
			}
		}()
	}
	var wg sync.WaitGroup
	var prices, reserves counts
	w.load(ctx, &wg, 162, func() *request { return get(lotPrice, "today") }, prices.add)
	w.load(ctx, &wg, 68, func() *request { return post(lotReserve, newID(), make([]byte, 1200)) }, reserves.add)
	wg.Wait()
	served, asked := prices.status[200], 0
	all, allAsked := served+reserves.status[200], 0
	for _, n := range prices.status {
		asked += n
	}
	for _, n := range reserves.status {
		allAsked += n
	}
	allAsked += asked
	share, allShare := float64(served)/float64(asked), float64(all)/float64(allAsked)
	w.rec.say("lookups by status %v, reservations by status %v; share served of the lookups %.3f, of all %.3f", prices.status, reserves.status, share, allShare)
	return share >= allShare/4, nil
}
