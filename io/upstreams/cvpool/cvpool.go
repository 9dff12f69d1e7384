// Package cvpool implements a pool of HTTP connections to upstream instances.
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
	// connectTimeout bounds the time to open a connection. The data centres of a region are at most 3 ms apart. A lost
	// packet delays the connection by a second, and a request with a target latency below a second cannot wait that
	// long.
	connectTimeout = 300 * time.Millisecond
	// unacknowledgedTimeout is how long sent bytes may stay unacknowledged before a connection counts as broken: three
	// times the longest delay that a lost packet causes.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is used if the upstream sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutShare is the share of the upstream's Keep-Alive timeout for which an idle connection is used. The rest
	// is a safety margin.
	idleTimeoutShare = 0.6
	// nonIdempotentIdleTimeout is how long a connection may be idle and still carry a request that must not run twice.
	// If the upstream closes the idle connection while the request is sent, it is unknown whether the request ran.
	nonIdempotentIdleTimeout = 2500 * time.Millisecond
)

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Pool manages the connections to upstream instances. It sends a request at most once per call of Exchange. It accepts
// a response only if it carries the ID of the request or states that the request did not run. Pool is safe for
// concurrent use. Set the exported fields before the first call and don't change them afterwards.
type Pool struct {
	// HeaderNames holds the header names of the deployment.
	HeaderNames cvheadernames.Names
	// MaxResponseBytes is the maximum size of a response body in bytes.
	MaxResponseBytes int64
	// OnOpen is called with the instance ID for each new connection.
	OnOpen func(instance string)
	// OnDrop is called when data from an upstream is discarded because it does not belong to the current request. The
	// request ID is empty if no request is in flight.
	OnDrop func(instance, requestID, reason string)

	mu        sync.Mutex
	endpoints map[string]*endpoint
}

// endpoint holds the idle connections to one instance and counts the open ones.
type endpoint struct {
	idle []*connection
	open int
}

// Exchange sends a request to an instance and returns the complete response. It opens a connection only if fewer than
// maxConnections to the instance are open. The argument nonIdempotent states that the request must not run twice. An
// error of KindUnavailable means that no byte was sent, one of KindUncertain that the request may have run, and one of
// KindExhausted that all connections are in use. If the context ends, Exchange closes the connection and returns an
// error of KindTimeout.
func (p *Pool) Exchange(ctx context.Context, instance *cvinstance.Instance, maxConnections int, request *cvrequest.Request, deadline time.Time, nonIdempotent bool) (comfreyvale.Answer, error) {
	c, err := p.acquire(ctx, instance, maxConnections, nonIdempotent)
	if err != nil {
		return comfreyvale.Answer{}, err
	}
	e := newExchange(request)
	if !c.start(e) {
		return comfreyvale.Answer{}, fail("exchange", comfreyvale.KindUnavailable, errors.New("the connection was closed before it was used"))
	}
	head := p.requestHead(instance, request, time.Until(deadline))
	buffers := net.Buffers{head, request.Body()}
	n, err := buffers.WriteTo(c.conn)
	c.recordSent(e, err == nil)
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

// acquire returns an idle connection that may be reused, or a new connection. It closes the idle connections that must
// not be reused.
func (p *Pool) acquire(ctx context.Context, instance *cvinstance.Instance, maxConnections int, nonIdempotent bool) (*connection, error) {
	now := time.Now()
	p.mu.Lock()
	ep := p.endpoint(instance.ID())
	for len(ep.idle) > 0 {
		c := ep.idle[len(ep.idle)-1]
		ep.idle = ep.idle[:len(ep.idle)-1]
		if c.reusable(now, nonIdempotent) {
			p.mu.Unlock()
			return c, nil
		}
		defer c.close()
	}
	if open := ep.open; open >= maxConnections {
		p.mu.Unlock()
		return nil, fail("connect", comfreyvale.KindExhausted, errors.Errorf("all %d connections are in use", open))
	}
	ep.open++
	p.mu.Unlock()
	return p.dial(ctx, instance)
}

// endpoint returns the endpoint of an instance, and creates it if necessary. The caller holds the lock.
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

func (p *Pool) dial(ctx context.Context, instance *cvinstance.Instance) (*connection, error) {
	dialer := &net.Dialer{Timeout: connectTimeout, Control: cvtcptimeout.Control(unacknowledgedTimeout)}
	conn, err := dialer.DialContext(ctx, "tcp", instance.Address())
	if err != nil {
		p.connectionClosed(instance.ID(), nil)
		return nil, fail("connect", comfreyvale.KindUnavailable, err)
	}
	p.OnOpen(instance.ID())
	c := newConnection(p, instance.ID(), conn)
	go c.readResponses()
	return c, nil
}

// AcceptsConnections reports whether the address of an instance accepts a new connection. The connection stays in the
// pool.
func (p *Pool) AcceptsConnections(ctx context.Context, instance *cvinstance.Instance) bool {
	p.mu.Lock()
	p.endpoint(instance.ID()).open++
	p.mu.Unlock()
	c, err := p.dial(ctx, instance)
	if err != nil {
		return false
	}
	p.release(c)
	return true
}

// release makes an idle connection available to further requests.
func (p *Pool) release(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ep := p.endpoint(c.instance)
	ep.idle = append(ep.idle, c)
}

// connectionClosed removes a closed connection from its endpoint. The connection is nil if it could not be opened.
func (p *Pool) connectionClosed(instance string, c *connection) {
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

// Retain closes the idle connections to instances for which wanted returns false, and the connections that were idle
// for too long.
func (p *Pool) Retain(now time.Time, wanted func(instance string) bool) {
	p.mu.Lock()
	var stale []*connection
	for id, ep := range p.endpoints {
		kept := ep.idle[:0]
		for _, c := range ep.idle {
			if wanted(id) && c.reusable(now, false) {
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

// OpenCount returns the number of open connections.
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
