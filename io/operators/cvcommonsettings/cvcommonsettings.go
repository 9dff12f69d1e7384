// Package cvcommonsettings is what all settings files of a VM have in common.
package cvcommonsettings

import (
	"os"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvschema"
	"comfreyvale/core/cvvalues"
)

// What an address and a URL in a settings file may be, as patterns and in words.
const (
	AddressPattern = `(\[[0-9a-f:]+\]|[0-9]{1,3}(\.[0-9]{1,3}){3}):[0-9]{1,5}`
	AddressAllowed = "an IP number and a port, like 10.0.0.1:8080"
	URLPattern     = `https?://[!-~]+`
	URLAllowed     = "a URL that begins with http:// or https://"
)

// Common is the values of a settings file, with the fields that every VM has.
type Common struct {
	*cvvalues.Values
}

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

// Load reads a settings file and checks it against its fields.
func Load(file string, schema *cvschema.Schema) (Common, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Common{}, fault{cvfault.New("load", comfreyvale.KindNotFound, err)}
	}
	return Parse(file, content, schema)
}

// Parse checks the content of a settings file. The error has a line for each problem.
func Parse(file string, content []byte, schema *cvschema.Schema) (Common, error) {
	values, err := schema.Parse(file, content)
	return Common{Values: values}, err
}

// VM is this VM's name.
func (c Common) VM() string { return c.Text("vm") }

// DataCentre is where this VM runs.
func (c Common) DataCentre() string { return c.Text("dataCentre") }

// ListenAddress is the address for callers.
func (c Common) ListenAddress() string { return c.Text("listen") }

// AdminAddress is the address for operators, or empty.
func (c Common) AdminAddress() string { return c.Text("admin") }

// PeerAddress is the address for the other balancers.
func (c Common) PeerAddress() string { return c.Text("peer") }

// TracesEndpoint is the OTLP endpoint, or empty.
func (c Common) TracesEndpoint() string { return c.Text("traces") }

// TraceShare is the share of calls that are traced, where the caller did not decide.
func (c Common) TraceShare() float64 { return c.Share("traceShare") }
