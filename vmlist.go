package comfreyvale

import "context"

// VMList is the platform's list of live and leaving VMs. It lags behind reality.
type VMList interface {
	// List returns all VMs that the platform knows.
	List(ctx context.Context) ([]VM, error)
	// String names the implementation.
	String() string
}

// VM is one machine of the platform's list, an upstream or a balancer.
type VM struct {
	name       string
	group      string
	dataCentre string
	address    string
	leaving    bool
}

// NewVM returns a VM that belongs to a group and serves at an address of the form host:port.
func NewVM(name, group, dataCentre, address string, leaving bool) VM {
	return VM{name: name, group: group, dataCentre: dataCentre, address: address, leaving: leaving}
}

// Name is unique in the list.
func (v VM) Name() string { return v.name }

// Group names the VMs that serve the same thing.
func (v VM) Group() string { return v.group }

// DataCentre is where the VM runs.
func (v VM) DataCentre() string { return v.dataCentre }

// Address is where the VM serves, as host:port.
func (v VM) Address() string { return v.address }

// Leaving says that the platform is about to stop the VM.
func (v VM) Leaving() bool { return v.leaving }
