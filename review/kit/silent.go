package main

import (
	"context"
	"sync"
	"time"
)

// configApply is the users' configApplyMs.
const configApply = 2 * time.Second

// silentStore plays open connections to the store that go silent for good, while new ones work. A second later the
// operator moves a route to another service. Machines are in touch again stableWindow after the connections went silent.
func silentStore(w *world) (bool, error) {
	for _, service := range []string{"subasta", "despacho"} {
		if err := w.addServers(service, 12, 4, 8, usualWork(100*time.Millisecond), nil); err != nil {
			return false, err
		}
	}
	p, err := newProxy(w.store.address)
	if err != nil {
		return false, err
	}
	w.storeAddress = p.address
	services := map[string]string{}
	for _, s := range w.servers {
		services[s.id] = s.service
	}
	r := lotPrice
	version := 7
	w.configure(version, r, lotReserve)
	if err := w.startMachines(6, 804); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithTimeout(w.ctx, 50*time.Second)
	defer cancel()
	type change struct {
		silent, sent, acked time.Time
		old, new            string
	}
	var mu sync.Mutex
	var changes []change
	var all []outcome
	var wg sync.WaitGroup
	for _, m := range w.machines {
		wg.Go(func() {
			for ctx.Err() == nil {
				wg.Go(func() {
					o := outcome{request: get(lotPrice, newID()), sentAt: time.Now()}
					o.reply = w.send(m, o.request, time.Second)
					mu.Lock()
					all = append(all, o)
					mu.Unlock()
				})
				pause(ctx, 50*time.Millisecond)
			}
		})
	}
	move := func() change {
		c := change{old: r.service, sent: time.Now()}
		r.service = map[string]string{"subasta": "despacho", "despacho": "subasta"}[r.service]
		version += 3
		w.configure(version, r, lotReserve)
		c.acked, c.new = time.Now(), r.service
		w.rec.say("version %d is acknowledged: %s goes from %s to %s", version, r.name, c.old, c.new)
		return c
	}
	for range 4 {
		changes = append(changes, move())
		pause(ctx, 2300*time.Millisecond)
		silent := time.Now()
		if w.trouble {
			w.rec.say("%d open connections to the store go silent", p.silence())
		}
		pause(ctx, time.Second)
		c := move()
		c.silent = silent
		changes = append(changes, c)
		pause(ctx, 8*time.Second)
	}
	cancel()
	wg.Wait()
	broken, worst, served := 0, time.Duration(0), 0
	byMachine := map[string]int{}
	for _, o := range all {
		if o.reply.status == 200 {
			served++
		}
		for n, c := range changes {
			if n+1 < len(changes) && o.sentAt.Add(o.reply.took).After(changes[n+1].sent) {
				continue
			}
			late := o.sentAt.Sub(c.acked) - configApply
			if late <= 0 || o.sentAt.Sub(c.silent) <= stableWindow {
				continue
			}
			for _, s := range w.runsOf(o.request.id) {
				if services[s] == c.old {
					broken++
					byMachine[o.reply.machine.name]++
					worst = max(worst, late)
					w.rec.log("CONFIG: %s, sent to %s %d ms after the acknowledgement, ran at %s (%s)", o.request.id, o.reply.machine.name, o.sentAt.Sub(c.acked).Milliseconds(), s, services[s])
				}
			}
		}
	}
	w.rec.say("requests %d, served %d; run by the old service later than %s after the acknowledgement, at machines in touch: %d, by machine %v, the last of them %d ms too late", len(all), served, configApply, broken, byMachine, worst.Milliseconds())
	return broken == 0, nil
}
