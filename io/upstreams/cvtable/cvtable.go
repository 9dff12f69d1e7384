// Package cvtable implements the table of the configured services and their dispatchers.
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

// Table holds a dispatcher for each configured service, with its upstreams from the VM list. It is safe for concurrent
// use; set the exported fields before the first call.
type Table struct {
	// NewPicker may be nil, for the default policy.
	NewPicker func(*cvservice.Service) comfreyvale.Picker
	// Notify is called when a Dispatcher's InFlight may have changed. It must not call the Table or its Dispatchers and
	// may be nil.
	Notify func()
	// OnEjection is called when failures eject an upstream. It must not call the Table or its Dispatchers and may be
	// nil.
	OnEjection func(service *cvservice.Service, upstream string)

	mu        sync.Mutex
	vms       []comfreyvale.VM
	balancers int
	current   atomic.Pointer[snapshot]
	version   atomic.Int64
}

// snapshot is immutable: a new configuration replaces it.
type snapshot struct {
	configuration *cvconfiguration.Configuration
	dispatchers   map[string]*cvdispatcher.Dispatcher
}

// Find returns the service for a host and path, and its dispatcher, or the cause of the refusal if there is none.
func (t *Table) Find(host, path string) (*cvservice.Service, *cvdispatcher.Dispatcher, comfreyvale.Cause) {
	current := t.current.Load()
	if current == nil || current.configuration.Generation() == 0 {
		return nil, nil, comfreyvale.CauseNoConfiguration
	}
	service, ok := current.configuration.Match(host, path)
	if !ok {
		return nil, nil, comfreyvale.CauseNoService
	}
	return service, current.dispatchers[service.Name()], ""
}

// SetConfiguration applies a configuration. Calls in progress keep the configuration with which they began.
func (t *Table) SetConfiguration(now time.Time, configuration *cvconfiguration.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.current.Load()
	next := &snapshot{configuration: configuration, dispatchers: make(map[string]*cvdispatcher.Dispatcher)}
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

// SetVMs replaces the VM list and the number of live balancers.
func (t *Table) SetVMs(now time.Time, vms []comfreyvale.VM, balancers int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if balancers == t.balancers && slices.Equal(vms, t.vms) {
		return
	}
	t.vms = vms
	t.balancers = balancers
	t.version.Add(1)
	current := t.current.Load()
	if current == nil {
		return
	}
	for _, s := range current.configuration.Services() {
		current.dispatchers[s.Name()].Update(now, s, t.upstreams(s), balancers)
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

// Dispatcher returns the dispatcher of a service, or nil if it is not configured.
func (t *Table) Dispatcher(service string) *cvdispatcher.Dispatcher {
	current := t.current.Load()
	if current == nil {
		return nil
	}
	return current.dispatchers[service]
}

// Services returns the configured services.
func (t *Table) Services() []*cvservice.Service {
	current := t.current.Load()
	if current == nil {
		return nil
	}
	return current.configuration.Services()
}

// Generation returns the generation of the configuration in force, or 0 if there is none.
func (t *Table) Generation() int64 {
	current := t.current.Load()
	if current == nil {
		return 0
	}
	return current.configuration.Generation()
}

// Version returns a counter that increases when the configuration, the VM list or the number of balancers changes.
func (t *Table) Version() int64 { return t.version.Load() }

// Tick calls Tick on all dispatchers.
func (t *Table) Tick(now time.Time) {
	for _, s := range t.Services() {
		if d := t.Dispatcher(s.Name()); d != nil {
			d.Tick(now)
		}
	}
}

// Probe calls Probe on all dispatchers.
func (t *Table) Probe(ctx context.Context) {
	for _, s := range t.Services() {
		if d := t.Dispatcher(s.Name()); d != nil {
			d.Probe(ctx)
		}
	}
}

// String returns a short description.
func (t *Table) String() string { return "table of services" }
