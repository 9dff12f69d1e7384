// Package cvsample implements a group of sample upstreams in one process.
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

// Group runs upstreams on loopback addresses and adds them to a VM list. Set the exported fields before Start.
type Group struct {
	// Name is the group in the VM list and the prefix of the upstreams' names.
	Name string
	// Count is the number of upstreams.
	Count int
	// Slots is the number of requests that each upstream runs at a time.
	Slots int
	// DataCentres are assigned to the upstreams in turn.
	DataCentres []string
	// ConnectTime and OneWayDelay are the simulated network times of each upstream.
	ConnectTime, OneWayDelay time.Duration
	// Seed is the seed of the first upstream's random work times. Each further upstream adds 1.
	Seed uint64
	// VMList receives the upstreams.
	VMList *cvmemlist.List

	servers   []*http.Server
	upstreams []*cvupstream.Upstream
}

// Start starts the upstreams and adds them to the VM list.
func (g *Group) Start() error {
	for i := range g.Count {
		name := fmt.Sprintf("%s-%d", g.Name, i+1)
		u := &cvupstream.Upstream{Name: name, Slots: g.Slots, ConnectTime: g.ConnectTime, OneWayDelay: g.OneWayDelay, Seed: g.Seed + uint64(i)}
		if err := g.startUpstream(u, i); err != nil {
			return err
		}
	}
	return nil
}

func (g *Group) startUpstream(u *cvupstream.Upstream, index int) error {
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

// Upstreams returns the started upstreams.
func (g *Group) Upstreams() []*cvupstream.Upstream { return g.upstreams }

// Stop shuts the upstreams down gracefully until ctx is done, and then closes the remaining connections. The upstreams
// stay in the VM list.
func (g *Group) Stop(ctx context.Context) {
	for _, s := range g.servers {
		if s.Shutdown(ctx) != nil {
			s.Close()
		}
	}
}
