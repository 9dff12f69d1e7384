// Package cvpool is the connections to upstream instances: each request is sent at most once on each, and only an answer
// that bears its id is its answer.
package cvpool

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvheadernames"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvrequest"
	"comfreyvale/io/balancers/cvtcptimeout"
)

const (
	// connectTime is how long opening a connection may take. Data centres of a region are 3 ms apart at most; one lost
	// packet costs a second, for which no request with a target below that can wait.
	connectTime = 300 * time.Millisecond
	// silentTime is how long sent bytes may stay unacknowledged before a connection counts as broken: three times the
	// longest pause that a lost packet makes.
	silentTime = 1500 * time.Millisecond
	// defaultKeep is how long an idle connection is kept when the upstream does not say.
	defaultKeep = 4 * time.Second
	// keepShare is the part of the time told by the upstream for which an idle connection is used, as a margin.
	keepShare = 0.6
	// orderKeep is how long a connection may have been idle to carry a request that may run only once: a connection that
	// the upstream closes just then leaves open whether the request ran.
	orderKeep = 2500 * time.Millisecond
)

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Pool keeps connections by instance.
type Pool struct {
	// HeaderNames names the headers of the deployment.
	HeaderNames cvheadernames.Names
	// MaxResponseBytes is the size of the largest answer in bytes.
	MaxResponseBytes int64
	// OnOpen is told of each new connection.
	OnOpen func(instance string)
	// OnDrop is told why a connection was given up, when that was not its ordinary end.
	OnDrop func(instance, request, reason string)

	mu        sync.Mutex
	endpoints map[string]*endpoint
}

// endpoint is the connections to one instance.
type endpoint struct {
	idle []*connection
	open int
}

// Exchange sends a request to an instance and returns the whole answer. Once says that the request may run only once.
// An error of KindUnavailable means that no byte was sent, one of KindUncertain that the request may have run, one of
// KindExhausted that all connections are in use. When the context ends, the connection is closed.
func (p *Pool) Exchange(ctx context.Context, to *cvinstance.Instance, limit int, message *cvrequest.Request, deadline time.Time, once bool) (comfreyvale.Answer, error) {
	c, err := p.acquire(ctx, to, limit, once)
	if err != nil {
		return comfreyvale.Answer{}, err
	}
	e := newExchange(message)
	if !c.start(e) {
		return comfreyvale.Answer{}, fail("exchange", comfreyvale.KindUnavailable, errors.New("the connection broke before it was used"))
	}
	head := p.head(to, message, time.Until(deadline))
	buffers := net.Buffers{head, message.Body()}
	n, err := buffers.WriteTo(c.conn)
	c.sent(e, err == nil)
	if err != nil && n == 0 {
		c.close()
		return comfreyvale.Answer{}, fail("exchange", comfreyvale.KindUnavailable, err)
	}
	select {
	case <-e.done:
	case <-ctx.Done():
		c.close()
		return comfreyvale.Answer{}, fail("exchange", comfreyvale.KindTimeout, context.Cause(ctx))
	}
	return e.answer, e.err
}

// acquire returns an idle connection that is fresh enough, or a new one.
func (p *Pool) acquire(ctx context.Context, to *cvinstance.Instance, limit int, once bool) (*connection, error) {
	now := time.Now()
	p.mu.Lock()
	ep := p.endpoint(to.ID())
	for len(ep.idle) > 0 {
		c := ep.idle[len(ep.idle)-1]
		ep.idle = ep.idle[:len(ep.idle)-1]
		if c.fresh(now, once) {
			p.mu.Unlock()
			return c, nil
		}
		defer c.close()
	}
	if open := ep.open; open >= limit {
		p.mu.Unlock()
		return nil, fail("connect", comfreyvale.KindExhausted, errors.Errorf("%d connections are open", open))
	}
	ep.open++
	p.mu.Unlock()
	return p.dial(ctx, to)
}

// endpoint returns the connections to an instance. The caller holds the lock.
func (p *Pool) endpoint(id string) *endpoint {
	if p.endpoints == nil {
		p.endpoints = make(map[string]*endpoint)
	}
	ep := p.endpoints[id]
	if ep == nil {
		ep = &endpoint{}
		p.endpoints[id] = ep
	}
	return ep
}

func (p *Pool) dial(ctx context.Context, to *cvinstance.Instance) (*connection, error) {
	dialer := &net.Dialer{Timeout: connectTime, Control: cvtcptimeout.Control(silentTime)}
	conn, err := dialer.DialContext(ctx, "tcp", to.Address())
	if err != nil {
		p.gone(to.ID(), nil)
		return nil, fail("connect", comfreyvale.KindUnavailable, err)
	}
	p.OnOpen(to.ID())
	c := newConnection(p, to.ID(), conn)
	go c.read()
	return c, nil
}

// AcceptsConnections says whether connections to an instance's address can be opened. The connection is kept for requests.
func (p *Pool) AcceptsConnections(ctx context.Context, to *cvinstance.Instance) bool {
	p.mu.Lock()
	p.endpoint(to.ID()).open++
	p.mu.Unlock()
	c, err := p.dial(ctx, to)
	if err != nil {
		return false
	}
	p.release(c)
	return true
}

// release puts a connection back for further requests.
func (p *Pool) release(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ep := p.endpoint(c.instance)
	ep.idle = append(ep.idle, c)
}

// gone counts a connection as closed; nil is one that was never open.
func (p *Pool) gone(instance string, c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ep := p.endpoint(instance)
	ep.open--
	for n, i := range ep.idle {
		if i == c && c != nil {
			ep.idle = append(ep.idle[:n], ep.idle[n+1:]...)
			break
		}
	}
	if ep.open <= 0 {
		delete(p.endpoints, instance)
	}
}

// Retain closes the idle connections to instances that are not wanted any more, and those that were idle for too long.
func (p *Pool) Retain(now time.Time, wanted func(instance string) bool) {
	p.mu.Lock()
	var stale []*connection
	for id, ep := range p.endpoints {
		kept := ep.idle[:0]
		for _, c := range ep.idle {
			if wanted(id) && c.fresh(now, false) {
				kept = append(kept, c)
				continue
			}
			stale = append(stale, c)
		}
		ep.idle = kept
	}
	p.mu.Unlock()
	for _, c := range stale {
		c.close()
	}
}

// OpenCount is the number of open connections.
func (p *Pool) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0
	for _, ep := range p.endpoints {
		total += ep.open
	}
	return total
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Retain(time.Now(), func(string) bool { return false }) }
