package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// reply is what a client saw of one attempt.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
	// sending is the part of took until the request was sent.
	sending time.Duration
	machine *machine
}

func (r reply) String() string {
	if r.err != nil {
		return fmt.Sprintf("no answer (%v) after %d ms", r.err, r.took.Milliseconds())
	}
	return fmt.Sprintf("%d after %d ms", r.status, r.took.Milliseconds())
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// pick returns a machine as the platform does: one in rotation, else any.
func (w *world) pick() *machine {
	var ready []*machine
	for _, m := range w.machines {
		if m.inRoute.Load() {
			ready = append(ready, m)
		}
	}
	if len(ready) == 0 {
		ready = w.machines
	}
	return ready[rand.IntN(len(ready))]
}

type request struct {
	id, method, host, path string
	body                   []byte
	deadline               time.Duration
}

func (q *request) head() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: %s\r\n", q.method, q.path, q.host, q.id, strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if len(q.body) > 0 || q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// send sends one attempt on a new connection to a machine and waits for its answer until the client gives up, a while
// after its deadline so that a late answer is seen.
func (w *world) send(m *machine, q *request, patience time.Duration) reply {
	started := time.Now()
	found := reply{machine: m}
	w.rec.log("client sends %s %s %s%s to %s", q.id, q.method, q.host, q.path, m.name)
	conn, err := net.DialTimeout("tcp", m.address(portListen), time.Second)
	if err != nil {
		found.err, found.took = err, time.Since(started)
		w.rec.log("client of %s: %s", q.id, found)
		return found
	}
	defer conn.Close()
	conn.SetDeadline(started.Add(q.deadline + patience))
	if _, err = conn.Write(q.head()); err == nil && len(q.body) > 0 {
		_, err = conn.Write(q.body)
	}
	found.sending = time.Since(started)
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	}
	if err == nil {
		found.status, found.header = response.StatusCode, response.Header
		found.body, err = io.ReadAll(response.Body)
	}
	found.err, found.took = err, time.Since(started)
	w.rec.log("client of %s: %s", q.id, found)
	return found
}

// keptLoad sends requests on kept connections, each with one request at a time, until the context ends. A connection
// that breaks is replaced by a new one. faster says how many times as many there are now. done gets the outcomes of requests that were not the first of their connection.
func (w *world) keptLoad(ctx context.Context, wg *sync.WaitGroup, perSecond float64, connections int, faster func() float64, next func() *request, done func(outcome)) {
	for range connections {
		wg.Go(func() {
			for ctx.Err() == nil {
				w.keepConnection(ctx, float64(connections)/perSecond, faster, next, done)
				pause(ctx, 100*time.Millisecond)
			}
		})
	}
}

func (w *world) keepConnection(ctx context.Context, meanPause float64, faster func() float64, next func() *request, done func(outcome)) {
	m := w.pick()
	conn, err := net.DialTimeout("tcp", m.address(portListen), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		pause(ctx, time.Duration(rand.ExpFloat64()*meanPause/faster()*float64(time.Second)))
		if ctx.Err() != nil {
			return
		}
		q := next()
		o := outcome{request: q, sentAt: time.Now(), reply: reply{machine: m}}
		w.rec.log("client sends %s %s %s%s to %s, on a kept connection", q.id, q.method, q.host, q.path, m.name)
		conn.SetDeadline(o.sentAt.Add(q.deadline + 2*time.Second))
		_, err := conn.Write(append(q.head(), q.body...))
		var response *http.Response
		if err == nil {
			response, err = http.ReadResponse(reader, &http.Request{Method: q.method})
		}
		if err == nil {
			o.reply.status, o.reply.header = response.StatusCode, response.Header
			o.reply.body, err = io.ReadAll(response.Body)
		}
		o.reply.err, o.reply.took = err, time.Since(o.sentAt)
		w.rec.log("client of %s: %s", q.id, o.reply)
		if n > 0 {
			done(o)
		}
		if err != nil || response.Close {
			return
		}
	}
}
