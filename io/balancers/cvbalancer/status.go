package cvbalancer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"comfreyvale/core/cvservicestatus"
	"comfreyvale/core/cvstatus"
)

// newProcessName returns a name that no two processes share.
func newProcessName(vm string, now time.Time) string {
	return fmt.Sprintf("%s.%x%04x", vm, now.UnixMilli(), rand.N(1<<16))
}

// ready reports whether this balancer should receive new requests, with the reason if not.
func (b *Balancer) ready() (string, bool) {
	switch {
	case b.stopping.Load():
		return "stopping", false
	case !b.vmListRead.Load():
		return "the VM list was not read yet", false
	case !b.follower.Confirmed():
		return "the configuration is not confirmed by the log yet", false
	case b.isolated(time.Now()):
		return "neither the log nor any other balancer answers", false
	case b.table.Generation() == 0:
		return "no configuration was published", false
	}
	return "", true
}

func (b *Balancer) status() cvstatus.Status {
	s := cvstatus.Status{
		VM: b.Settings.VM(), DataCentre: b.Settings.DataCentre(), Incarnation: b.membership.Incarnation(),
		Generation: b.table.Generation(), NextOffset: b.follower.NextOffset(), Confirmed: b.follower.Confirmed(),
		Stopping: b.stopping.Load(), InFlight: b.gateway.InFlight(), Claims: b.homes.Len(),
		Epoch: b.membership.View().Epoch(), Members: b.membership.View().Incarnations(), Linked: b.peers.Linked(),
		Quarantines: b.quarantines(),
	}
	for _, service := range b.table.Services() {
		s.Services = append(s.Services, b.serviceStatus(service.Name()))
	}
	return s
}

func (b *Balancer) serviceStatus(name string) cvservicestatus.Status {
	s := cvservicestatus.Status{Name: name}
	d := b.table.Dispatcher(name)
	if d == nil {
		return s
	}
	vms, ejected, draining := d.Upstreams(time.Now())
	for _, v := range vms {
		s.Upstreams = append(s.Upstreams, v.Name())
	}
	s.Ejected = ejected
	s.Draining = draining
	s.Calls, s.Tries, s.Waiting = d.Counts()
	return s
}
