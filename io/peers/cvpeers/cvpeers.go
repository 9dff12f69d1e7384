// Package cvpeers is the links between balancers: yamux sessions that carry protobuf messages.
package cvpeers

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/operators/cvmetrics"
)

const (
	// dialTime is how long opening a link may take.
	dialTime = time.Second
	// redialTime is the pause between two tries to open a link.
	redialTime = 100 * time.Millisecond
	// keepAliveTime is the time between two questions whether a link still works.
	keepAliveTime = time.Second
	// writeTime is how long a message, or the answer to a keep-alive, may take.
	writeTime = 2 * time.Second
	// greetTime is how long who opened a link may take to say who it is.
	greetTime = 2 * time.Second
	// streamWindow is how many bytes of one stream are sent ahead.
	streamWindow = 256 << 10
)

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Peers keeps one link to each other balancer. Of two balancers, the one whose process name is lower opens the link.
type Peers struct {
	// Process names this process.
	Process string
	// Listener takes the links that others open.
	Listener net.Listener
	// TLS secures the links; nil leaves them plain.
	TLS *tls.Config
	// Handle answers a peer's request; a nil reply sends none.
	Handle func(ctx context.Context, from string, request *cvwire.PeerRequest) *cvwire.PeerReply
	// Changed is told when a link comes or goes; refused says that the peer's address refuses connections.
	Changed func(process string, up, refused bool)
	// Metrics counts.
	Metrics *cvmetrics.Metrics

	mu      sync.Mutex
	links   map[string]*link
	dialing map[string]context.CancelFunc
	// wanted are the addresses that were named before Run.
	wanted map[string]string
	ctx    context.Context
}

// Run serves links until the context ends.
func (p *Peers) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	p.mu.Lock()
	p.init()
	p.ctx = ctx
	p.want(p.wanted)
	p.mu.Unlock()
	group.Go(func() error {
		<-ctx.Done()
		p.Listener.Close()
		p.closeAll()
		return nil
	})
	group.Go(func() error { return p.accept(ctx) })
	return group.Wait()
}

func (p *Peers) init() {
	if p.links == nil {
		p.links = make(map[string]*link)
		p.dialing = make(map[string]context.CancelFunc)
	}
}

func (p *Peers) accept(ctx context.Context) error {
	for {
		conn, err := p.Listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fail("accept", comfreyvale.KindUnavailable, err)
		}
		go p.welcome(ctx, conn)
	}
}

// welcome takes a link that a peer opened.
func (p *Peers) welcome(ctx context.Context, conn net.Conn) {
	if p.TLS != nil {
		conn = tls.Server(conn, p.TLS)
	}
	session, err := yamux.Server(&counted{Conn: conn, metrics: p.Metrics}, configuration())
	if err != nil {
		conn.Close()
		return
	}
	silent := time.AfterFunc(greetTime, func() { session.Close() })
	process, err := greeted(session, p.Process)
	if err != nil || !silent.Stop() {
		session.Close()
		return
	}
	p.serve(ctx, process, session)
}

// Want names the processes that this balancer wants links to, by address. Links to others stay until they break.
func (p *Peers) Want(addresses map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	if p.ctx == nil {
		p.wanted = addresses
		return
	}
	p.want(addresses)
}

func (p *Peers) want(addresses map[string]string) {
	for process, stop := range p.dialing {
		if _, ok := addresses[process]; !ok {
			stop()
			delete(p.dialing, process)
		}
	}
	for process, address := range addresses {
		if process <= p.Process || p.dialing[process] != nil {
			continue
		}
		ctx, stop := context.WithCancel(p.ctx)
		p.dialing[process] = stop
		go p.keep(ctx, process, address)
	}
}

// keep opens a link again whenever it breaks.
func (p *Peers) keep(ctx context.Context, process, address string) {
	for ctx.Err() == nil {
		err := p.dial(ctx, process, address)
		if ctx.Err() != nil {
			return
		}
		p.Changed(process, false, errors.Is(err, syscall.ECONNREFUSED))
		select {
		case <-time.After(redialTime):
		case <-ctx.Done():
		}
	}
}

// dial opens a link and serves it until it breaks.
func (p *Peers) dial(ctx context.Context, process, address string) error {
	dialer := &net.Dialer{Timeout: dialTime, LocalAddr: p.source()}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	if p.TLS != nil {
		conn = tls.Client(conn, p.TLS)
	}
	session, err := yamux.Client(&counted{Conn: conn, metrics: p.Metrics}, configuration())
	if err != nil {
		conn.Close()
		return err
	}
	met, err := greet(session, p.Process)
	if err != nil || met != process {
		session.Close()
		return errors.Errorf("met process %q, %v", met, err)
	}
	p.serve(ctx, process, session)
	return nil
}

// source is the address that links are opened from: the one that others know, on any port.
func (p *Peers) source() net.Addr {
	own, ok := p.Listener.Addr().(*net.TCPAddr)
	if !ok || own.IP.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: own.IP}
}

func configuration() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAliveTime
	c.ConnectionWriteTimeout = writeTime
	c.StreamOpenTimeout = writeTime
	c.MaxStreamWindowSize = streamWindow
	c.LogOutput = io.Discard
	return c
}

// serve answers a peer's requests until the link breaks.
func (p *Peers) serve(ctx context.Context, process string, session *yamux.Session) {
	l := &link{session: session}
	p.mu.Lock()
	if old := p.links[process]; old != nil {
		old.session.Close()
	}
	p.links[process] = l
	p.mu.Unlock()
	p.Changed(process, true, false)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			break
		}
		go p.answer(ctx, process, stream)
	}
	session.Close()
	p.drop(process, l)
}

func (p *Peers) drop(process string, l *link) {
	p.mu.Lock()
	current := p.links[process] == l
	if current {
		delete(p.links, process)
	}
	p.mu.Unlock()
	if current {
		p.Changed(process, false, false)
	}
}

// answer serves the requests of one stream.
func (p *Peers) answer(ctx context.Context, process string, stream *yamux.Stream) {
	defer stream.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reader := newReader(stream)
	for {
		request := &cvwire.PeerRequest{}
		if reader.read(request) != nil {
			return
		}
		reply := p.Handle(ctx, process, request)
		if reply == nil {
			continue
		}
		if write(stream, reply) != nil {
			return
		}
	}
}

// Call sends a request to a process and returns its reply. Without a link, the error has KindUnavailable and nothing was sent.
func (p *Peers) Call(ctx context.Context, process string, request *cvwire.PeerRequest) (*cvwire.PeerReply, error) {
	l := p.link(process)
	if l == nil {
		return nil, fail("call", comfreyvale.KindUnavailable, errors.Errorf("no link to balancer %s", process))
	}
	request.From = p.Process
	reply, err := l.call(ctx, request)
	if err != nil {
		return nil, fail("call", comfreyvale.KindUncertain, err)
	}
	return reply, nil
}

// Tell sends a request without a reply; it may be lost.
func (p *Peers) Tell(process string, request *cvwire.PeerRequest) error {
	l := p.link(process)
	if l == nil {
		return fail("tell", comfreyvale.KindUnavailable, errors.Errorf("no link to balancer %s", process))
	}
	request.From = p.Process
	if err := l.tell(request); err != nil {
		return fail("tell", comfreyvale.KindUncertain, err)
	}
	return nil
}

func (p *Peers) link(process string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links[process]
}

// Linked are the processes that this one has a link to.
func (p *Peers) Linked() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	linked := make([]string, 0, len(p.links))
	for process := range p.links {
		linked = append(linked, process)
	}
	return linked
}

func (p *Peers) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.session.Close()
	}
}
