package comfreyvale

import "context"

// VMList is the platform's list of the VMs that run or are about to stop. It can be out of date.
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

// NewVM returns a VM that serves at an address in the form host:port.
func NewVM(name, group, dataCentre, address string, leaving bool) VM {
	return VM{name: name, group: group, dataCentre: dataCentre, address: address, leaving: leaving}
}

// Name returns the name of the VM, unique in the list.
func (v VM) Name() string { return v.name }

// Group returns the group of the VM, whose members are interchangeable.
func (v VM) Group() string { return v.group }

// DataCentre returns the data centre in which the VM runs.
func (v VM) DataCentre() string { return v.dataCentre }

// Address returns the address of the VM in the form host:port.
func (v VM) Address() string { return v.address }

// Leaving reports whether the platform is about to stop the VM.
func (v VM) Leaving() bool { return v.leaving }
