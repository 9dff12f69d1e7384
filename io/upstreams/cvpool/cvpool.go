// Package cvpool implements a pool of HTTP connections to upstream instances.
package cvpool

import (
	"context"
	"math"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvheadernames"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvrequest"
	"comfreyvale/io/balancers/cvbodies"
	"comfreyvale/io/balancers/cvtcptimeout"
)

const (
	// connectTimeout is far above the delay between data centres of a region, which is a few milliseconds, and below the
	// second by which a lost packet delays a connection: a request with a target latency below a second cannot wait for it.
	connectTimeout = 300 * time.Millisecond
	// unacknowledgedTimeout is how long sent bytes may stay unacknowledged before a connection counts as broken: three
	// times the longest delay that a lost packet causes.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// defaultIdleTimeout applies if the upstream sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutShare is the used share of the upstream's Keep-Alive timeout. The rest is a safety margin.
	idleTimeoutShare = 0.6
	// nonIdempotentIdleTimeout is how long a connection may be idle and still carry a request that must not run twice.
	// If the upstream closes it meanwhile, it is unknown whether the request ran.
	nonIdempotentIdleTimeout = 2500 * time.Millisecond
)

type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Pool manages the connections to upstream instances. It accepts a response only if it carries the ID of the request, or
// if it is the first rejection without an ID on its connection. It is safe for concurrent use; set the exported fields
// before the first call.
type Pool struct {
	HeaderNames cvheadernames.Names
	// MaxResponseBytes is the maximum size of a response body.
	MaxResponseBytes int64
	// OnOpen is called for each new connection.
	OnOpen func(instance string)
	// OnDrop is called when received data is discarded because it does not belong to the current request. The request
	// ID is empty if no request is in flight.
	OnDrop func(instance, requestID, reason string)

	mu sync.Mutex
	// endpoints holds the connections by instance ID.
	endpoints map[string]*endpoint
}

// Exchange sends a request at most once and returns the complete response, whose memory is free when the holder is closed.
// At most maxConnections connections to the instance are open at a time. The kinds of errors: KindUnavailable means that
// no byte was sent, KindUncertain that the request may have run, KindExhausted that all connections are in use, and
// KindTimeout that the context ended, which closes the connection.
func (p *Pool) Exchange(ctx context.Context, instance *cvinstance.Instance, maxConnections int, request *cvrequest.Request, memory *cvbodies.Holder) (comfreyvale.Answer, error) {
	c, err := p.acquire(ctx, instance, maxConnections, request.NonIdempotent())
	if err != nil {
		return comfreyvale.Answer{}, err
	}
	if ctx.Err() != nil {
		// The caller left while the connection was opened, and may send its request again. If this one ran too, a request
		// that is not idempotent would run twice. The connection was not used.
		p.release(c)
		return comfreyvale.Answer{}, fail("exchange", comfreyvale.KindUnavailable, context.Cause(ctx))
	}
	e := newExchange(request, memory)
	if !c.start(e) {
		return comfreyvale.Answer{}, fail("exchange", comfreyvale.KindUnavailable, errors.New("the connection was closed before it was used"))
	}
	head := p.requestHead(instance, request, time.Until(request.Deadline()))
	buffers := append(net.Buffers{head}, request.Parts()...)
	sent, err := buffers.WriteTo(c.conn)
	c.recordSent(e, err == nil)
	if err != nil && sent == 0 {
		c.close()
		return comfreyvale.Answer{}, fail("exchange", comfreyvale.KindUnavailable, err)
	}
	// A part that was sent may have been the whole request: only the response, or the end of the connection, decides.
	select {
	case <-e.done:
	case <-ctx.Done():
		c.close()
		return comfreyvale.Answer{}, fail("exchange", comfreyvale.KindTimeout, context.Cause(ctx))
	}
	return e.answer, e.err
}

// acquire returns a reusable idle connection or a new one, and closes idle connections that must not be reused.
func (p *Pool) acquire(ctx context.Context, instance *cvinstance.Instance, maxConnections int, nonIdempotent bool) (*connection, error) {
	reusable, expired := p.takeIdle(time.Now(), instance.ID(), nonIdempotent)
	closeAll(expired)
	if reusable != nil {
		return reusable, nil
	}
	if !p.countNew(instance.ID(), maxConnections) {
		return nil, fail("connect", comfreyvale.KindExhausted, errors.Errorf("all %d connections are in use", maxConnections))
	}
	return p.dial(ctx, instance)
}

// dial opens a connection, which the caller has already counted in its endpoint, and starts to read from it.
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

// AcceptsConnections reports whether the address of an instance accepts a new connection, which stays in the pool.
func (p *Pool) AcceptsConnections(ctx context.Context, instance *cvinstance.Instance) bool {
	p.countNew(instance.ID(), math.MaxInt)
	c, err := p.dial(ctx, instance)
	if err != nil {
		return false
	}
	p.release(c)
	return true
}

// Retain closes idle connections to unwanted instances and those that were idle for too long.
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
	closeAll(stale)
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Retain(time.Now(), func(string) bool { return false }) }
