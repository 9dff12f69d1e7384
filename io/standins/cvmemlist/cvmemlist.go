// Package cvmemlist is a VM list in memory, for the embedded default, tests and the list stand-in.
package cvmemlist

import (
	"context"
	"slices"
	"sync"

	"comfreyvale"
)

// List holds VMs in memory.
type List struct {
	mu  sync.Mutex
	vms []comfreyvale.VM
}

// Put adds a VM or replaces the one of the same name.
func (l *List) Put(vm comfreyvale.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = slices.DeleteFunc(l.vms, func(v comfreyvale.VM) bool { return v.Name() == vm.Name() })
	l.vms = append(l.vms, vm)
}

// Remove takes a VM out.
func (l *List) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = slices.DeleteFunc(l.vms, func(v comfreyvale.VM) bool { return v.Name() == name })
}

// List returns all VMs.
func (l *List) List(context.Context) ([]comfreyvale.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.vms), nil
}

// String names the implementation.
func (l *List) String() string { return "memory" }
