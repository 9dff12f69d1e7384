// Package cvcommonsettings implements the loading of VM settings files and provides the fields that all of them have.
package cvcommonsettings

import (
	"os"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvschema"
	"comfreyvale/core/cvvalues"
)

// The valid addresses and URLs of a settings file, as patterns and as descriptions.
const (
	AddressPattern = `(\[[0-9a-f:]+\]|[0-9]{1,3}(\.[0-9]{1,3}){3}):[0-9]{1,5}`
	AddressAllowed = "an IP address and a port, like 10.0.0.1:8080"
	URLPattern     = `https?://[!-~]+`
	URLAllowed     = "a URL that begins with http:// or https://"
)

// Common holds the values of a settings file. It is safe for concurrent use.
type Common struct {
	*cvvalues.Values
}

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

// Load reads a settings file and checks it against a schema. The error has KindNotFound if the file cannot be read,
// otherwise a line for each problem.
func Load(file string, schema *cvschema.Schema) (Common, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Common{}, fault{cvfault.New("load", comfreyvale.KindNotFound, err)}
	}
	return Parse(file, content, schema)
}

// Parse checks the content of a settings file against a schema. The error has a line for each problem.
func Parse(file string, content []byte, schema *cvschema.Schema) (Common, error) {
	values, err := schema.Parse(file, content)
	return Common{Values: values}, err
}

// VM returns the name of this VM.
func (c Common) VM() string { return c.Text("vm") }

// DataCentre returns the name of the data centre that this VM runs in.
func (c Common) DataCentre() string { return c.Text("dataCentre") }

// ListenAddress returns the address for callers.
func (c Common) ListenAddress() string { return c.Text("listen") }

// AdminAddress returns the address for operators, or an empty string.
func (c Common) AdminAddress() string { return c.Text("admin") }

// PeerAddress returns the address for the other balancers.
func (c Common) PeerAddress() string { return c.Text("peer") }

// TracesEndpoint returns the URL of the OTLP endpoint, or an empty string.
func (c Common) TracesEndpoint() string { return c.Text("traces") }

// TraceShare returns the share, from 0 to 1, of calls that are traced if the caller sends no sampling decision.
func (c Common) TraceShare() float64 { return c.Share("traceShare") }
