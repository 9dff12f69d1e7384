package main

import (
	"io"
	"net"
	"sync"
)

// proxy stands between the balancers and another address. Its open connections can go silent for good, while new ones
// work.
type proxy struct {
	target  string
	address string
	mu      sync.Mutex
	open    map[*pipe]struct{}
}

// pipe is one connection through a proxy.
type pipe struct {
	mu     sync.Mutex
	silent bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, address: listener.Addr().String(), open: make(map[*pipe]struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *proxy) serve(conn net.Conn) {
	defer conn.Close()
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	c := &pipe{}
	p.mu.Lock()
	p.open[c] = struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { c.copy(upstream, conn) })
	wg.Go(func() { c.copy(conn, upstream) })
	wg.Wait()
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
}

// copy passes bytes on until one side closes, and drops them once the connection is silent.
func (c *pipe) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if silent {
			// Neither bytes nor the end of the connection pass any more.
			io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	to.Close()
	from.Close()
}

// silence makes all open connections silent and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for c := range p.open {
		c.mu.Lock()
		if !c.silent {
			count++
		}
		c.silent = true
		c.mu.Unlock()
	}
	return count
}
