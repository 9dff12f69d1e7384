package cvpool

import (
	"slices"
	"time"
)

// endpoint holds the connections to one instance.
type endpoint struct {
	// idle holds the connections without a request, the one that was used last at the end.
	idle []*connection
	// open counts all connections, those that are being opened included.
	open int
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

// takeIdle takes the idle connection to an instance that was used last and may be used again, or nil. It also takes those
// that must not be used any more. The caller closes these without the lock, as closing takes it.
func (p *Pool) takeIdle(now time.Time, instance string, nonIdempotent bool) (reusable *connection, expired []*connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ep := p.endpoint(instance)
	for len(ep.idle) > 0 {
		c := ep.idle[len(ep.idle)-1]
		ep.idle = ep.idle[:len(ep.idle)-1]
		if c.reusable(now, nonIdempotent) {
			return c, expired
		}
		expired = append(expired, c)
	}
	return nil, expired
}

func closeAll(connections []*connection) {
	for _, c := range connections {
		c.close()
	}
}

// countNew counts a connection that is about to be opened. It returns false if that many are open already.
func (p *Pool) countNew(instance string, maxConnections int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ep := p.endpoint(instance)
	if ep.open >= maxConnections {
		return false
	}
	ep.open++
	return true
}

// release makes a connection available for the next request.
func (p *Pool) release(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ep := p.endpoint(c.instance)
	ep.idle = append(ep.idle, c)
}

// connectionClosed updates the endpoint of a closed connection; c is nil if the connection could not be opened.
func (p *Pool) connectionClosed(instance string, c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ep := p.endpoint(instance)
	ep.open--
	if n := slices.Index(ep.idle, c); n >= 0 {
		ep.idle = slices.Delete(ep.idle, n, n+1)
	}
	if ep.open <= 0 {
		delete(p.endpoints, instance)
	}
}

// HasIdle reports whether there is a connection to an instance without a request.
func (p *Pool) HasIdle(instance string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ep := p.endpoints[instance]
	return ep != nil && len(ep.idle) > 0
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
