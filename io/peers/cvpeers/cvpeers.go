// Package cvpeers implements the links between balancers: yamux sessions that carry protobuf messages.
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
	dialTimeout = time.Second
	// redialDelay is the delay between two attempts to open a link.
	redialDelay       = 100 * time.Millisecond
	keepAliveInterval = time.Second
	// writeTimeout limits a write, opening a stream, the response to a keep-alive, and the exchange of process names.
	writeTimeout = 2 * time.Second
	// helloTimeout is how long a peer that opened a link may take to send its name.
	helloTimeout = 2 * time.Second
	// streamWindowBytes is how many bytes of a stream may be sent before the receiver has read them.
	streamWindowBytes = 256 << 10
)

type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Peers maintains one link to each other balancer. Of two balancers, the one whose process name sorts first opens the
// link. It is safe for concurrent use.
type Peers struct {
	// Process is the name of this process.
	Process string
	// Listener accepts the links that other balancers open.
	Listener net.Listener
	// TLS secures the links; if nil, they are plain TCP.
	TLS *tls.Config
	// Handle returns the reply to a peer's request, or nil to send none.
	Handle func(ctx context.Context, from string, request *cvwire.PeerRequest) *cvwire.PeerReply
	// OnLinkChange is called when a link opens or breaks, and when opening it fails. refused is true if the peer's address
	// refused the connection.
	OnLinkChange func(process string, up, refused bool)
	// Metrics counts the bytes of the links.
	Metrics *cvmetrics.Metrics

	mu          sync.Mutex
	links       map[string]*link
	stopDialing map[string]context.CancelFunc
	// addresses holds the addresses set before Run.
	addresses map[string]string
	// runCtx is the context of Run, which ends all links.
	runCtx context.Context
}

// Run opens, accepts and serves links until the context ends.
func (p *Peers) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	p.mu.Lock()
	p.init()
	p.runCtx = ctx
	p.setAddresses(p.addresses)
	p.mu.Unlock()
	group.Go(func() error {
		<-ctx.Done()
		p.Listener.Close()
		return nil
	})
	group.Go(func() error { return p.accept(ctx) })
	return group.Wait()
}

func (p *Peers) init() {
	if p.links == nil {
		p.links = make(map[string]*link)
		p.stopDialing = make(map[string]context.CancelFunc)
	}
}

func (p *Peers) accept(ctx context.Context) error {
	for {
		conn, err := p.Listener.Accept()
		if err != nil && ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fail("accept", comfreyvale.KindUnavailable, err)
		}
		go p.acceptLink(conn)
	}
}

// acceptLink serves a link that a peer has opened until it breaks.
func (p *Peers) acceptLink(conn net.Conn) {
	if p.TLS != nil {
		conn = tls.Server(conn, p.TLS)
	}
	session, err := yamux.Server(&countingConn{Conn: conn, metrics: p.Metrics}, sessionConfig())
	if err != nil {
		conn.Close()
		return
	}
	stop := closeWithRun(p.runCtx, session)
	defer stop()
	timer := time.AfterFunc(helloTimeout, func() { session.Close() })
	process, err := receiveHello(session, p.Process)
	if err != nil || !timer.Stop() {
		session.Close()
		return
	}
	p.serve(process, session)
}

// SetAddresses sets the addresses, by process, of the balancers to link to. Links to balancers that have no address
// anymore stay open until they break: a balancer that leaves still hands over its answers.
func (p *Peers) SetAddresses(addresses map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	if p.runCtx == nil {
		p.addresses = addresses
		return
	}
	p.setAddresses(addresses)
}

// setAddresses starts and stops the goroutines that open links. The caller holds the lock.
func (p *Peers) setAddresses(addresses map[string]string) {
	for process, stop := range p.stopDialing {
		if _, ok := addresses[process]; !ok {
			stop()
			delete(p.stopDialing, process)
		}
	}
	for process, address := range addresses {
		if process <= p.Process || p.stopDialing[process] != nil {
			continue
		}
		dialCtx, stop := context.WithCancel(p.runCtx)
		p.stopDialing[process] = stop
		go p.keepLinked(dialCtx, process, address)
	}
}

// keepLinked opens a link, and reopens it whenever it breaks, until dialCtx ends.
func (p *Peers) keepLinked(dialCtx context.Context, process, address string) {
	for dialCtx.Err() == nil {
		err := p.dial(dialCtx, process, address)
		if dialCtx.Err() != nil {
			return
		}
		p.OnLinkChange(process, false, errors.Is(err, syscall.ECONNREFUSED))
		select {
		case <-time.After(redialDelay):
		case <-dialCtx.Done():
		}
	}
}

// dial opens a link and serves it until it breaks. dialCtx limits only the opening.
func (p *Peers) dial(dialCtx context.Context, process, address string) error {
	dialer := &net.Dialer{Timeout: dialTimeout, LocalAddr: p.localAddress()}
	conn, err := dialer.DialContext(dialCtx, "tcp", address)
	if err != nil {
		return err
	}
	if p.TLS != nil {
		conn = tls.Client(conn, p.TLS)
	}
	session, err := yamux.Client(&countingConn{Conn: conn, metrics: p.Metrics}, sessionConfig())
	if err != nil {
		conn.Close()
		return err
	}
	stop := closeWithRun(p.runCtx, session)
	defer stop()
	name, err := sendHello(session, p.Process)
	if err != nil || name != process {
		session.Close()
		return errors.Errorf("peer replied as process %q, error: %v", name, err)
	}
	p.serve(process, session)
	return nil
}

// closeWithRun closes a session when Run ends, from its first moment on: a process that has stopped must not answer a peer
// that sends its name late. The caller must call stop when it has no more use for the session.
func closeWithRun(runCtx context.Context, session *yamux.Session) (stop func() bool) {
	return context.AfterFunc(runCtx, func() { session.Close() })
}

// localAddress returns the listener's IP address with any port, because the peers know this balancer by that IP
// address, or nil if the listener has no specific one.
func (p *Peers) localAddress() net.Addr {
	local, ok := p.Listener.Addr().(*net.TCPAddr)
	if !ok || local.IP.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: local.IP}
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindowBytes
	c.LogOutput = io.Discard
	return c
}

// serve handles a peer's requests until the link breaks. It closes an older link to the same peer.
func (p *Peers) serve(process string, session *yamux.Session) {
	l := &link{session: session}
	p.mu.Lock()
	if old := p.links[process]; old != nil {
		old.session.Close()
	}
	p.links[process] = l
	p.mu.Unlock()
	p.OnLinkChange(process, true, false)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			break
		}
		go p.handleStream(process, stream)
	}
	session.Close()
	p.removeLink(process, l)
}

// removeLink removes a link unless a newer one has replaced it.
func (p *Peers) removeLink(process string, l *link) {
	p.mu.Lock()
	current := p.links[process] == l
	if current {
		delete(p.links, process)
	}
	p.mu.Unlock()
	if current {
		p.OnLinkChange(process, false, false)
	}
}

// handleStream handles the requests of one stream in order, until its end.
func (p *Peers) handleStream(process string, stream *yamux.Stream) {
	defer stream.Close()
	ctx, cancel := context.WithCancel(p.runCtx)
	defer cancel()
	reader := newReader(stream, maxMessageBytes)
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

// Call sends a request to a process and returns its reply. KindUnavailable means that there is no link and nothing was
// sent; any other error has KindUncertain: the peer may have handled the request.
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

// Send sends a request that has no reply. The request may be lost even if the error is nil.
func (p *Peers) Send(process string, request *cvwire.PeerRequest) error {
	l := p.link(process)
	if l == nil {
		return fail("tell", comfreyvale.KindUnavailable, errors.Errorf("no link to balancer %s", process))
	}
	request.From = p.Process
	if err := l.send(request); err != nil {
		return fail("tell", comfreyvale.KindUncertain, err)
	}
	return nil
}

func (p *Peers) link(process string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links[process]
}

// Linked returns the processes with an open link.
func (p *Peers) Linked() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	linked := make([]string, 0, len(p.links))
	for process := range p.links {
		linked = append(linked, process)
	}
	return linked
}
