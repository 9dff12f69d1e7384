// Package cvnodesettings is the checked settings file of a VM whose routes and upstreams come from the platform's directory.
package cvnodesettings

import (
	"net"

	"comfreyvale/core/cvfield"
	"comfreyvale/core/cvschema"
	"comfreyvale/core/cvterms"
	"comfreyvale/io/operators/cvcommonsettings"
)

// schema lists the fields of a settings file.
var schema = cvschema.New([]cvfield.Field{
	{Path: "vm", Kind: cvfield.Text, Required: true, Pattern: `[!-~]{1,100}`, Allowed: "1 to 100 visible characters", Effect: "Names this VM."},
	{Path: "dataCentre", Kind: cvfield.Text, Required: true, Pattern: `[!-~]{1,100}`, Allowed: "1 to 100 visible characters", Effect: "Names the data centre that this VM runs in."},
	{Path: "listen", Kind: cvfield.Text, Required: true, Pattern: cvcommonsettings.AddressPattern, Allowed: cvcommonsettings.AddressAllowed, Effect: "Address for callers."},
	{Path: "ready", Kind: cvfield.Text, Required: true, Pattern: cvcommonsettings.AddressPattern, Allowed: cvcommonsettings.AddressAllowed, Effect: "Address at which the platform asks whether this VM takes new connections."},
	{Path: "peer", Kind: cvfield.Text, Required: true, Pattern: cvcommonsettings.AddressPattern, Allowed: cvcommonsettings.AddressAllowed, Effect: "Address for the other balancers."},
	{Path: "news", Kind: cvfield.Text, Required: true, Pattern: cvcommonsettings.AddressPattern, Allowed: cvcommonsettings.AddressAllowed, Effect: "Address, over UDP, for the news of the other balancers; its port is the same on all VMs."},
	{Path: "admin", Kind: cvfield.Text, Default: "", Pattern: `|` + cvcommonsettings.AddressPattern, Allowed: cvcommonsettings.AddressAllowed, Effect: "Address for metrics; without it there are none."},
	{Path: "traces", Kind: cvfield.Text, Default: "", Pattern: `|` + cvcommonsettings.URLPattern, Allowed: cvcommonsettings.URLAllowed, Effect: "OTLP endpoint for traces; none are sent without it."},
	{Path: "traceShare", Kind: cvfield.Share, Default: "1%", Min: "0%", Max: "100%", Effect: "Share of requests that are traced, where the caller did not decide."},
	{Path: "seeds", Kind: cvfield.Texts, Default: "", Pattern: cvcommonsettings.AddressPattern, Allowed: "a list of addresses", Effect: "Addresses of some other balancers, to meet the others through; their ports do not count."},
	{Path: "directory", Kind: cvfield.Text, Required: true, Pattern: cvcommonsettings.AddressPattern, Allowed: cvcommonsettings.AddressAllowed, Effect: "Address of the platform's log service, which holds routes and upstreams."},
	{Path: "memory", Kind: cvfield.Count, Default: "512", Min: "32", Max: "1000000", Effect: "Memory of this VM in megabytes; request bodies in progress take a quarter at most, and further ones are refused."},
	{Path: "terms.stop", Kind: cvfield.Duration, Default: "6s", Min: "1s", Max: "1h", Effect: "After the stop signal, when the platform kills the process."},
	{Path: "terms.notice", Kind: cvfield.Duration, Default: "2500ms", Min: "0s", Max: "1m", Effect: "After the stop signal, how long new connections are still taken, until the platform has noticed: two checks a second apart, and their way."},
	{Path: "terms.drain", Kind: cvfield.Duration, Default: "2s", Min: "100ms", Max: "1m", Effect: "Time in which a leaving upstream gets no new work any more."},
	{Path: "terms.apply", Kind: cvfield.Duration, Default: "2s", Min: "100ms", Max: "1m", Effect: "Time in which an accepted configuration is in force."},
	{Path: "terms.stable", Kind: cvfield.Duration, Default: "3s", Min: "100ms", Max: "1m", Effect: "Time after a disruption from which everything is expected to work as usual."},
	{Path: "terms.retryRatio", Kind: cvfield.Number, Default: "0.1", Min: "0", Max: "10", Effect: "Further tries that each request allows, over all balancers, in any window."},
	{Path: "terms.retryWindow", Kind: cvfield.Duration, Default: "10s", Min: "1s", Max: "10m", Effect: "Length of the window in which further tries are counted."},
	{Path: "terms.retrySlack", Kind: cvfield.Number, Default: "10", Min: "0", Max: "1000000", Effect: "Further tries that a window allows on top, over all balancers."},
	{Path: "terms.probesPerSecond", Kind: cvfield.Number, Default: "0", Min: "0", Max: "100000", Effect: "Health checks that one upstream allows in a second, from all balancers."},
})

// Settings is what one VM is told about itself and its surroundings.
type Settings struct {
	cvcommonsettings.Common
}

// Fields returns the fields of a settings file in the order of the reference page.
func Fields() []cvfield.Field { return schema.Fields() }

// Load reads and checks a settings file.
func Load(file string) (*Settings, error) { return made(cvcommonsettings.Load(file, schema)) }

// Parse checks the content of a settings file. The error has a line for each problem.
func Parse(file string, content []byte) (*Settings, error) {
	return made(cvcommonsettings.Parse(file, content, schema))
}

func made(common cvcommonsettings.Common, err error) (*Settings, error) {
	if err != nil {
		return nil, err
	}
	return &Settings{Common: common}, nil
}

// ReadinessAddress is the address for the platform's readiness checks.
func (s *Settings) ReadinessAddress() string { return s.Text("ready") }

// GossipAddress is the address for the news of the other balancers.
func (s *Settings) GossipAddress() string { return s.Text("news") }

// SeedAddresses are the news addresses of some other balancers.
func (s *Settings) SeedAddresses() []string {
	// The checked patterns of the fields leave no address without a port.
	_, port, _ := net.SplitHostPort(s.GossipAddress())
	var found []string
	for _, seed := range s.Texts("seeds") {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			found = append(found, net.JoinHostPort(ip, port))
		}
	}
	return found
}

// DirectoryAddress is the address of the platform's log service.
func (s *Settings) DirectoryAddress() string { return s.Text("directory") }

// MemoryMB is the memory of this VM in megabytes.
func (s *Settings) MemoryMB() int { return s.Count("memory") }

// Terms are the deployment's bounds.
func (s *Settings) Terms() cvterms.Terms {
	return cvterms.New().
		WithStopTimes(s.Duration("terms.drain"), s.Duration("terms.stop"), s.Duration("terms.stable")).
		WithNotice(s.Duration("terms.notice")).
		WithApply(s.Duration("terms.apply")).
		WithRetries(s.Number("terms.retryRatio"), s.Duration("terms.retryWindow"), s.Number("terms.retrySlack")).
		WithProbes(s.Number("terms.probesPerSecond"))
}
