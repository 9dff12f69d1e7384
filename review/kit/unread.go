package main

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// longBody is the length of a long body; the configuration's maxBodyBytes is 64 MiB.
	longBody = 24 << 20
	// usualReading is how many bytes a second a server reads of a request. A long body takes 0.3 s.
	usualReading = 80 << 20
	// window is the receive buffer of a server: the windows of the users' links are small.
	window = 256 << 10
	// slowDown and slowShare are the largest dose of srv_slow in the days of the small deployment (trouble-2).
	slowDown  = 12
	slowShare = 0.4
	// answerSlack is the time beyond a route's timeoutMs within which the rule CONFIG wants an answer.
	answerSlack = 500 * time.Millisecond
)

// unreadBody plays servers that turn slow while clients send long bodies. A request that is unanswered at its route's
// timeout must be answered half a second later.
func unreadBody(w *world) (bool, error) {
	var active atomic.Bool
	slow := map[*server]bool{}
	w.readBody = func(s *server, c *serverConn, request *http.Request) ([]byte, error) {
		return readAtRate(c, request, func() float64 {
			if active.Load() && slow[s] {
				return usualReading / slowDown
			}
			return usualReading
		})
	}
	if err := w.addServers("subasta", 27, 4, 8, usualWork(140*time.Millisecond), func(s *server) { s.window = window }); err != nil {
		return false, err
	}
	for n, s := range w.servers {
		slow[s] = n < int(slowShare*float64(len(w.servers)))
	}
	w.configure(7, lotPrice, lotReserve)
	if err := w.startMachines(6, 804); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithTimeout(w.ctx, 46*time.Second)
	defer cancel()
	if w.trouble {
		go func() {
			for range 3 {
				pause(ctx, 5*time.Second)
				active.Store(true)
				w.rec.log("%d of %d servers turn slow", int(slowShare*float64(len(w.servers))), len(w.servers))
				pause(ctx, 9*time.Second)
				active.Store(false)
				w.rec.log("they are as usual again")
			}
		}()
	}
	var wg sync.WaitGroup
	var prices counts
	var mu sync.Mutex
	var all []outcome
	w.load(ctx, &wg, 60, func() *request { return get(lotPrice, newID()) }, prices.add)
	w.load(ctx, &wg, 4, func() *request { return post(lotReserve, newID(), make([]byte, longBody)) }, func(o outcome) {
		mu.Lock()
		all = append(all, o)
		mu.Unlock()
	})
	wg.Wait()
	timeout := time.Duration(lotReserve.timeoutMs) * time.Millisecond
	open, late := 0, 0
	status := map[int]int{}
	longest := time.Duration(0)
	for _, o := range all {
		status[o.reply.status]++
		longest = max(longest, o.reply.took)
		// The time runs from the last byte that the client has sent.
		waited := o.reply.took - o.reply.sending
		if waited <= timeout {
			continue
		}
		open++
		if waited > timeout+answerSlack {
			late++
		}
	}
	w.rec.say("lookups by status %v; reservations with long bodies by status %v, 0 for no answer before the client gave up; the longest took %d ms", prices.status, status, longest.Milliseconds())
	w.rec.say("reservations still unanswered at the route's timeout of %s: %d; of these without an answer %s later: %d", timeout, open, answerSlack, late)
	return open < 8 || 2*late <= open, nil
}

var errUnread = errors.New("the body was not read")

// readAtRate reads a body at a number of bytes a second.
func readAtRate(c *serverConn, request *http.Request, rate func() float64) ([]byte, error) {
	body := make([]byte, 0, max(request.ContentLength, 0))
	buffer := make([]byte, 64<<10)
	for {
		n, err := request.Body.Read(buffer)
		body = append(body, buffer[:n]...)
		if err != nil {
			if int64(len(body)) < request.ContentLength {
				return nil, errUnread
			}
			return body, nil
		}
		if request.ContentLength > 1<<20 {
			pause(c.ctx, time.Duration(float64(n)/rate()*float64(time.Second)))
		}
	}
}
