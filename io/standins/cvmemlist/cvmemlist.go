// Package cvmemlist implements a VM list in memory for the embedded deployment, tests and the VM list stand-in.
package cvmemlist

import (
	"context"
	"slices"
	"sync"

	"comfreyvale"
)

// List holds VMs in memory. The zero value is empty. It is safe for concurrent use.
type List struct {
	mu  sync.Mutex
	vms []comfreyvale.VM
}

// Put adds a VM or replaces the one with the same name.
func (l *List) Put(vm comfreyvale.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = slices.DeleteFunc(l.vms, func(v comfreyvale.VM) bool { return v.Name() == vm.Name() })
	l.vms = append(l.vms, vm)
}

// Remove removes the named VM, if present.
func (l *List) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = slices.DeleteFunc(l.vms, func(v comfreyvale.VM) bool { return v.Name() == name })
}

// List returns all VMs in a new slice. The error is always nil.
func (l *List) List(context.Context) ([]comfreyvale.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.vms), nil
}

// String returns the name of the implementation.
func (l *List) String() string { return "memory" }
