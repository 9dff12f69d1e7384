// Package cvhttpvmlist implements an HTTP client of the platform's VM list.
package cvhttpvmlist

import (
	"context"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/io/balancers/cvboundedbody"
	"comfreyvale/io/balancers/cvtransport"
)

const (
	responseTimeout = 5 * time.Second
	// maxResponseBytes limits a response. An entry of a VM takes some hundred bytes.
	maxResponseBytes = 16 << 20
)

// client is shared, so that its connections are used again.
var client = cvtransport.NewClient()

type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// List is a client of the VM list at one address. It is safe for concurrent use.
type List struct {
	// Address is the base URL of the VM list.
	Address string
}

type vm struct {
	Name       string `json:"name"`
	Group      string `json:"group"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	Leaving    bool   `json:"leaving"`
}

// List returns all VMs in the list.
func (l *List) List(ctx context.Context) ([]comfreyvale.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	request, err := sling.New().Base(l.Address).Get("/vms").Request()
	if err != nil {
		return nil, fail("list", comfreyvale.KindInvalid, err)
	}
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return nil, fail("list", comfreyvale.KindUnavailable, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fail("list", comfreyvale.KindUnavailable, errors.New(response.Status))
	}
	var entries []vm
	if err := (cvboundedbody.Decoder{Limit: maxResponseBytes}).Decode(response, &entries); err != nil {
		return nil, fail("list", comfreyvale.KindUnavailable, err)
	}
	vms := make([]comfreyvale.VM, 0, len(entries))
	for _, v := range entries {
		vms = append(vms, comfreyvale.NewVM(v.Name, v.Group, v.DataCentre, v.Address, v.Leaving))
	}
	return vms, nil
}

// String returns the name of the implementation.
func (l *List) String() string { return "http " + l.Address }
