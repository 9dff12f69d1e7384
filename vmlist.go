package comfreyvale

import "context"

// VMList is the platform's list of the VMs that run or are about to stop. Its entries can be out of date.
type VMList interface {
	// List returns all VMs in the list.
	List(ctx context.Context) ([]VM, error)
	// String returns the name of the implementation.
	String() string
}

// VM is an entry of the platform's list: an upstream or a balancer.
type VM struct {
	name       string
	group      string
	dataCentre string
	address    string
	leaving    bool
}

// NewVM returns a VM that belongs to a group and serves at an address in the form host:port.
func NewVM(name, group, dataCentre, address string, leaving bool) VM {
	return VM{name: name, group: group, dataCentre: dataCentre, address: address, leaving: leaving}
}

// Name returns the name of the VM, which is unique in the list.
func (v VM) Name() string { return v.name }

// Group returns the name of the group. The VMs of a group are interchangeable.
func (v VM) Group() string { return v.group }

// DataCentre returns the data centre in which the VM runs.
func (v VM) DataCentre() string { return v.dataCentre }

// Address returns the address at which the VM serves, in the form host:port.
func (v VM) Address() string { return v.address }

// Leaving reports whether the platform is about to stop the VM.
func (v VM) Leaving() bool { return v.leaving }
