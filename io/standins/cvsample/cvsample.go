// Package cvsample is a group of sample upstreams within one process.
package cvsample

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/io/standins/cvmemlist"
	"comfreyvale/io/standins/cvupstream"
)

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

// Group serves a number of upstreams on loopback and enters them into a VM list.
type Group struct {
	// Name is the group's name in the VM list.
	Name string
	// Count is the number of upstreams.
	Count int
	// Slots is how many requests each runs at a time.
	Slots int
	// DataCentres are the data centres that the upstreams stand in, in turn.
	DataCentres []string
	// ConnectTime and OneWayDelay are the times of opening a connection and of the way there.
	ConnectTime, OneWayDelay time.Duration
	// Seed makes the upstreams' times the same in each run.
	Seed uint64
	// VMList takes the upstreams' entries.
	VMList *cvmemlist.List

	servers   []*http.Server
	upstreams []*cvupstream.Upstream
}

// Start begins to serve.
func (g *Group) Start() error {
	for i := range g.Count {
		name := fmt.Sprintf("%s-%d", g.Name, i+1)
		u := &cvupstream.Upstream{Name: name, Slots: g.Slots, ConnectTime: g.ConnectTime, OneWayDelay: g.OneWayDelay, Seed: g.Seed + uint64(i)}
		if err := g.serve(u, i); err != nil {
			return err
		}
	}
	return nil
}

func (g *Group) serve(u *cvupstream.Upstream, index int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fault{cvfault.New("start", comfreyvale.KindUnavailable, err)}
	}
	server := &http.Server{Handler: u.Handler(), ConnState: u.ConnState, ConnContext: u.ConnContext}
	g.servers = append(g.servers, server)
	g.upstreams = append(g.upstreams, u)
	go server.Serve(listener)
	dataCentre := g.DataCentres[index%len(g.DataCentres)]
	g.VMList.Put(comfreyvale.NewVM(u.Name, g.Name, dataCentre, listener.Addr().String(), false))
	return nil
}

// Upstreams are the upstreams that serve.
func (g *Group) Upstreams() []*cvupstream.Upstream { return g.upstreams }

// Stop ends after the requests in progress.
func (g *Group) Stop(ctx context.Context) {
	for _, s := range g.servers {
		if s.Shutdown(ctx) != nil {
			s.Close()
		}
	}
}
