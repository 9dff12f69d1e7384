// Package cvtable is the set of dispatchers of the services in force.
package cvtable

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"comfreyvale"
	"comfreyvale/core/cvconfiguration"
	"comfreyvale/core/cvservice"
	"comfreyvale/io/upstreams/cvdispatcher"
)

// Table joins the configuration with the VM list.
type Table struct {
	// NewPicker makes the pickers; nil takes the default policy.
	NewPicker func(*cvservice.Service) comfreyvale.Picker
	// Notify is told whenever the own tries in flight may have changed; nil tells nobody.
	Notify func()
	// OnEjection is told of each upstream that gets no calls because of its failures; nil tells nobody.
	OnEjection func(service *cvservice.Service, upstream string)

	mu        sync.Mutex
	vms       []comfreyvale.VM
	balancers int
	current   atomic.Pointer[view]
	version   atomic.Int64
}

// view is what one call sees, from its arrival to its end.
type view struct {
	configuration *cvconfiguration.Configuration
	dispatchers   map[string]*cvdispatcher.Dispatcher
}

// Find returns the service that takes a call and its dispatcher, or the cause of there being none.
func (t *Table) Find(host, path string) (*cvservice.Service, *cvdispatcher.Dispatcher, comfreyvale.Cause) {
	v := t.current.Load()
	if v == nil || v.configuration.Generation() == 0 {
		return nil, nil, comfreyvale.CauseNoConfiguration
	}
	service, ok := v.configuration.Match(host, path)
	if !ok {
		return nil, nil, comfreyvale.CauseNoService
	}
	return service, v.dispatchers[service.Name()], ""
}

// SetConfiguration brings a configuration into force. Calls in progress end under the one they began with.
func (t *Table) SetConfiguration(now time.Time, configuration *cvconfiguration.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.current.Load()
	next := &view{configuration: configuration, dispatchers: make(map[string]*cvdispatcher.Dispatcher)}
	for _, s := range configuration.Services() {
		d := &cvdispatcher.Dispatcher{NewPicker: t.NewPicker, Notify: t.Notify, OnEjection: t.OnEjection}
		if old != nil && old.dispatchers[s.Name()] != nil {
			d = old.dispatchers[s.Name()]
		}
		d.Update(now, s, t.upstreams(s), t.balancers)
		next.dispatchers[s.Name()] = d
	}
	t.current.Store(next)
	t.version.Add(1)
}

// SetVMs takes a new VM list and the number of live balancers.
func (t *Table) SetVMs(now time.Time, vms []comfreyvale.VM, balancers int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if balancers == t.balancers && slices.Equal(vms, t.vms) {
		return
	}
	t.vms = vms
	t.balancers = balancers
	t.version.Add(1)
	v := t.current.Load()
	if v == nil {
		return
	}
	for _, s := range v.configuration.Services() {
		v.dispatchers[s.Name()].Update(now, s, t.upstreams(s), balancers)
	}
}

func (t *Table) upstreams(service *cvservice.Service) []comfreyvale.VM {
	var found []comfreyvale.VM
	for _, v := range t.vms {
		if v.Group() == service.Group() {
			found = append(found, v)
		}
	}
	return found
}

// Dispatcher returns the dispatcher of a service, or nil.
func (t *Table) Dispatcher(service string) *cvdispatcher.Dispatcher {
	v := t.current.Load()
	if v == nil {
		return nil
	}
	return v.dispatchers[service]
}

// Services returns the services in force.
func (t *Table) Services() []*cvservice.Service {
	v := t.current.Load()
	if v == nil {
		return nil
	}
	return v.configuration.Services()
}

// Generation is the generation in force.
func (t *Table) Generation() int64 {
	v := t.current.Load()
	if v == nil {
		return 0
	}
	return v.configuration.Generation()
}

// Version grows with each change of the configuration or the VM list.
func (t *Table) Version() int64 { return t.version.Load() }

// Tick lets waiting calls go on that only the passing of time has freed.
func (t *Table) Tick(now time.Time) {
	for _, s := range t.Services() {
		if d := t.Dispatcher(s.Name()); d != nil {
			d.Tick(now)
		}
	}
}

// Probe sends the measuring requests that probing policies ask for.
func (t *Table) Probe(ctx context.Context) {
	for _, s := range t.Services() {
		if d := t.Dispatcher(s.Name()); d != nil {
			d.Probe(ctx)
		}
	}
}

// String describes the table.
func (t *Table) String() string { return "table of services" }
