package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { plays["odd-entry"] = playOddEntry }

// playOddEntry sends requests for two services. With the disruption, another writer writes an entry without version and
// warm-up time under the id of a server.
func playOddEntry(w *world) (breaches []string, err error) {
	for _, name := range []string{"prices-1", "prices-2", "orders-1", "orders-2"} {
		if _, err := w.startServer("i-"+name, name[:len(name)-2], 20*time.Millisecond, nil); err != nil {
			return nil, err
		}
	}
	w.configure(map[string]any{
		"price": route("/price/", "safe", "prices", time.Second), "order": route("/order/", "unsafe", "orders", time.Second),
	}, "prices", "orders")
	if err := w.startBalancers(1); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	for n := range 300 {
		if w.trouble && n == 100 {
			of := w.servers[0]
			of.awaitBeat()
			sound := of.entry()
			odd, _ := json.Marshal(map[string]any{
				"address": sound["address"], "born": sound["born"],
				"info":   map[string]any{"service": "orders", "zone": "zone-a", "slots": 4},
				"status": map[string]any{"state": "ready", "seq": sound["status"].(map[string]any)["seq"]},
			})
			w.store.put("keyed.servers", of.id, odd)
			w.record("another writer: entry of %s without version and warmupLeftMs: %s", of.id, odd)
		}
		id := fmt.Sprintf("request-%04d", n)
		path, method, service := "/price/"+id, http.MethodGet, "prices"
		if n%2 == 0 {
			path, method, service = "/order/"+id, http.MethodPost, "orders"
		}
		r := w.send(w.balancer[0], id, method, path, nil, time.Second, 2*time.Second)
		w.record("%s", r)
		for _, run := range w.runsOf(id) {
			if run.service != service {
				breaches = append(breaches, fmt.Sprintf("ROUTE: request %s on the route of %s was run by %s of %s; the client got %d %q", id, service, run.server, run.service, r.status, r.body))
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return breaches, nil
}
