package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"comfreyvale/io/balancers/cvpause"
	"comfreyvale/platform/cvformat"
)

const (
	clientCount = 10
	// patience is how long a client reads for an answer before it gives its connection up.
	patience = 8 * time.Second
	// abandoned is the share of requests whose client leaves before the answer.
	abandoned = 0.03
)

// notes is what callers saw.
type notes struct {
	mu         sync.Mutex
	violations []string
	// once and safe are the requests that were sent, unrun those that were said not to have run, and unanswered those whose
	// connection a planned stop closed.
	once, safe, unrun, unanswered []string
	statuses                      map[int]int
	cut                           int
}

func (n *notes) violated(format string, values ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.violations = append(n.violations, fmt.Sprintf(format, values...))
}

// client sends requests one after another on a connection that it keeps.
type client struct {
	w       *world
	n       *notes
	number  int
	draws   *rand.Rand
	at      *balancer
	life    *life
	conn    net.Conn
	reader  *bufio.Reader
	counter int
}

func (c *client) run(ctx context.Context) {
	defer c.leave()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect() {
			cvpause.For(ctx, 20*time.Millisecond)
			continue
		}
		c.ask()
		cvpause.For(ctx, time.Duration(c.draws.IntN(20))*time.Millisecond)
	}
}

// connect opens a connection to a balancer that is not stopping, as the platform would choose one.
func (c *client) connect() bool {
	b := c.w.balancers[c.draws.IntN(len(c.w.balancers))]
	l := b.now()
	if _, planned := l.state(); planned {
		return false
	}
	conn, err := b.dial()
	if err != nil {
		return false
	}
	c.at, c.life, c.conn, c.reader = b, l, conn, bufio.NewReader(conn)
	return true
}

func (c *client) leave() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// ask sends one request and judges what comes back.
func (c *client) ask() {
	c.counter++
	id := fmt.Sprintf("r%d-%d", c.number, c.counter)
	method, path := http.MethodGet, "/safe/x"
	c.n.mu.Lock()
	if c.draws.IntN(2) == 0 {
		method, path = http.MethodPost, "/once/x"
		c.n.once = append(c.n.once, id)
	} else {
		c.n.safe = append(c.n.safe, id)
	}
	c.n.mu.Unlock()
	began := time.Now()
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %d\r\nContent-Length: 0\r\n\r\n",
		method, path, cvformat.HeaderNames().RequestID, id, cvformat.HeaderNames().Deadline, requestTime.Milliseconds())
	if err != nil {
		c.broken(id, err, false)
		return
	}
	if c.draws.Float64() < abandoned {
		time.Sleep(time.Duration(c.draws.IntN(30)) * time.Millisecond)
		c.leave()
		return
	}
	c.receive(id, began)
}

func (c *client) receive(id string, began time.Time) {
	_ = c.conn.SetReadDeadline(began.Add(patience))
	if _, err := c.reader.Peek(1); err != nil {
		c.broken(id, err, false)
		return
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.broken(id, err, true)
		return
	}
	body, err := io.ReadAll(response.Body)
	response.Body.Close()
	if err != nil {
		c.broken(id, err, true)
		return
	}
	c.judge(id, response.StatusCode, string(body))
	if response.Close {
		c.leave()
	}
}

// judge checks a whole answer.
func (c *client) judge(id string, status int, body string) {
	c.n.mu.Lock()
	c.n.statuses[status]++
	if status == http.StatusServiceUnavailable {
		c.n.unrun = append(c.n.unrun, id)
	}
	c.n.mu.Unlock()
	switch status {
	case http.StatusOK:
		if body != "answer to "+id {
			c.n.violated("%s got %q", id, body)
		}
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
	default:
		c.n.violated("%s got status %d from %s", id, status, c.at.name)
	}
}

// broken judges a connection that ended without a whole answer: a killed process may cut anything, a planned stop may close
// a connection only before it has run what came on it.
func (c *client) broken(id string, err error, some bool) {
	defer c.leave()
	killed, planned := c.life.state()
	if killed {
		c.n.mu.Lock()
		defer c.n.mu.Unlock()
		c.n.cut++
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.n.violated("%s at %s got no answer in %s", id, c.at.name, patience)
		return
	}
	if some || !planned {
		c.n.violated("%s at %s was cut: %v", id, c.at.name, err)
		return
	}
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	c.n.unanswered = append(c.n.unanswered, id)
}

// probe asks a balancer one thing on a connection of its own, and returns the status, or 0.
func (b *balancer) probe(path, id string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+b.address+path, nil)
	if err != nil {
		return 0
	}
	request.Host = "h"
	request.Header.Set(cvformat.HeaderNames().RequestID, id)
	request.Header.Set(cvformat.HeaderNames().Deadline, fmt.Sprint(requestTime.Milliseconds()))
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// watchVersions asks a balancer for the paths of versions: in one life of the process none that was replaced comes back.
func (n *notes) watchVersions(ctx context.Context, w *world, b *balancer) {
	process, seen := b.now(), int64(0)
	for ; ctx.Err() == nil; cvpause.For(ctx, 50*time.Millisecond) {
		if now := b.now(); now != process {
			process, seen = now, 0
		}
		newest := w.newest()
		for version := max(newest-2, 1); version <= newest; version++ {
			status := b.probe(only(version), "")
			if b.now() != process {
				break
			}
			switch {
			case status == http.StatusOK && version < seen:
				n.violated("%s served version %d after version %d", b.name, version, seen)
			case status == http.StatusNotFound && version == seen && w.newest() == version:
				n.violated("%s no longer serves version %d", b.name, version)
			case status == http.StatusOK:
				seen = version
			}
		}
	}
}

// settle checks, when all is quiet, what ran.
func (n *notes) settle(w *world, duration time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	extra := -len(n.safe)
	for _, id := range n.once {
		if count := w.ran(id); count > 1 {
			n.violations = append(n.violations, fmt.Sprintf("%s ran %d times and may run once", id, count))
		}
	}
	for _, id := range n.safe {
		count := w.ran(id)
		extra += max(count, 1)
		if count > 2 {
			n.violations = append(n.violations, fmt.Sprintf("%s ran %d times and may be tried twice", id, count))
		}
	}
	for what, ids := range map[string][]string{"said not to have run": n.unrun, "left without an answer by a planned stop": n.unanswered} {
		for _, id := range ids {
			if count := w.ran(id); count > 0 {
				n.violations = append(n.violations, fmt.Sprintf("%s was %s and ran %d times", id, what, count))
			}
		}
	}
	windows := float64(duration/retryWindow) + 1
	if allowed := retryRatio*float64(len(n.once)+len(n.safe)) + retrySlack*windows; float64(extra) > allowed {
		n.violations = append(n.violations, fmt.Sprintf("%d further tries, where %.0f are allowed", extra, allowed))
	}
}
