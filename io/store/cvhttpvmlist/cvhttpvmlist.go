// Package cvhttpvmlist is the client of the platform's VM list over HTTP.
package cvhttpvmlist

import (
	"context"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
)

// answerTime is how long an answer may take.
const answerTime = 5 * time.Second

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// List reads the VM list from one address.
type List struct {
	// Address is the list's base URL.
	Address string
}

type vm struct {
	Name       string `json:"name"`
	Group      string `json:"group"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	Leaving    bool   `json:"leaving"`
}

// List returns all VMs that the platform knows.
func (l *List) List(ctx context.Context) ([]comfreyvale.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	request, err := sling.New().Base(l.Address).Get("/vms").Request()
	if err != nil {
		return nil, fail("list", comfreyvale.KindInvalid, err)
	}
	var answer []vm
	response, err := sling.New().Do(request.WithContext(ctx), &answer, nil)
	if err != nil {
		return nil, fail("list", comfreyvale.KindUnavailable, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fail("list", comfreyvale.KindUnavailable, errors.New(response.Status))
	}
	vms := make([]comfreyvale.VM, 0, len(answer))
	for _, v := range answer {
		vms = append(vms, comfreyvale.NewVM(v.Name, v.Group, v.DataCentre, v.Address, v.Leaving))
	}
	return vms, nil
}

// String names the implementation.
func (l *List) String() string { return "http " + l.Address }
