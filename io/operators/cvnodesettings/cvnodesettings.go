// Package cvnodesettings provides the settings of a VM whose routes and upstreams come from the platform's directory.
package cvnodesettings

import (
	"net"
	"strings"

	"comfreyvale/core/cvfield"
	"comfreyvale/core/cvschema"
	"comfreyvale/core/cvterms"
	"comfreyvale/io/operators/cvcommonsettings"
)

var schema = cvschema.New([]cvfield.Field{
	{Path: "vm", Kind: cvfield.Text, Required: true, Pattern: `[!-~]{1,100}`, Allowed: "1 to 100 visible characters", Effect: "Name of this VM."},
	{Path: "dataCentre", Kind: cvfield.Text, Required: true, Pattern: `[!-~]{1,100}`, Allowed: "1 to 100 visible characters", Effect: "Name of the data centre that this VM runs in."},
	{Path: "dataCentres", Kind: cvfield.Texts, Default: "", Pattern: `[!-~]{1,100}`, Allowed: "a list of names", Effect: "Names of the data centres that run balancers. Until a data centre is heard of, budgets that all balancers share allow for as many there as here."},
	{Path: "regions", Kind: cvfield.Texts, Default: "", Pattern: `[!-<>-~]{1,100}=[!-<>-~]{1,100}`, Allowed: "a list of DATACENTRE=REGION", Effect: "The region of each data centre. An upstream in a data centre without one gets no request that is bound to regions."},
	{Path: "listen", Kind: cvfield.Text, Required: true, Pattern: cvcommonsettings.AddressPattern, Allowed: cvcommonsettings.AddressAllowed, Effect: "Address for callers."},
	{Path: "ready", Kind: cvfield.Text, Required: true, Pattern: cvcommonsettings.AddressPattern, Allowed: cvcommonsettings.AddressAllowed, Effect: "Address for the platform's readiness checks, which ask whether this VM accepts new connections."},
	{Path: "peer", Kind: cvfield.Text, Required: true, Pattern: cvcommonsettings.AddressPattern, Allowed: cvcommonsettings.AddressAllowed, Effect: "Address for the other balancers."},
	{Path: "news", Kind: cvfield.Text, Required: true, Pattern: cvcommonsettings.AddressPattern, Allowed: cvcommonsettings.AddressAllowed, Effect: "UDP address for gossip with the other balancers. Its port is the same on all VMs."},
	{Path: "admin", Kind: cvfield.Text, Default: "", Pattern: `|` + cvcommonsettings.AddressPattern, Allowed: cvcommonsettings.AddressAllowed, Effect: "Address for metrics. Without it, metrics are not served."},
	{Path: "traces", Kind: cvfield.Text, Default: "", Pattern: `|` + cvcommonsettings.URLPattern, Allowed: cvcommonsettings.URLAllowed, Effect: "OTLP endpoint for traces. Without it, no traces are sent."},
	{Path: "traceShare", Kind: cvfield.Share, Default: "1%", Min: "0%", Max: "100%", Effect: "Share of requests that are traced if the caller sends no sampling decision."},
	{Path: "seeds", Kind: cvfield.Texts, Default: "", Pattern: cvcommonsettings.AddressPattern, Allowed: "a list of addresses", Effect: "Addresses of some other balancers, through which this VM finds all others. Their ports are ignored."},
	{Path: "directory", Kind: cvfield.Text, Required: true, Pattern: cvcommonsettings.AddressPattern, Allowed: cvcommonsettings.AddressAllowed, Effect: "Address of the platform's log service, which holds the routes and the upstreams."},
	{Path: "memory", Kind: cvfield.Count, Default: "512", Min: "32", Max: "1000000", Effect: "Memory of this VM in megabytes. Connections, requests and answers may take a third of it; the garbage collector keeps the process within three quarters."},
	{Path: "terms.stop", Kind: cvfield.Duration, Default: "6s", Min: "1s", Max: "1h", Effect: "Time from the stop signal until the platform kills the process."},
	{Path: "terms.notice", Kind: cvfield.Duration, Default: "2500ms", Min: "0s", Max: "1m", Effect: "Time after the stop signal in which new connections are still accepted, because the platform sends them until its checks fail: two checks one second apart, plus their network delay."},
	{Path: "terms.drain", Kind: cvfield.Duration, Default: "2s", Min: "100ms", Max: "1m", Effect: "Time within which a leaving upstream stops receiving new requests."},
	{Path: "terms.apply", Kind: cvfield.Duration, Default: "2s", Min: "100ms", Max: "1m", Effect: "Time within which an accepted configuration takes effect."},
	{Path: "terms.stable", Kind: cvfield.Duration, Default: "3s", Min: "100ms", Max: "1m", Effect: "Time after a disruption by which service is back to normal."},
	{Path: "terms.retryRatio", Kind: cvfield.Number, Default: "0.1", Min: "0", Max: "10", Effect: "Extra attempts (retries and hedges) that each request in a window allows, over all balancers together."},
	{Path: "terms.retryWindow", Kind: cvfield.Duration, Default: "10s", Min: "1s", Max: "10m", Effect: "Length of the window in which extra attempts are counted."},
	{Path: "terms.retrySlack", Kind: cvfield.Number, Default: "10", Min: "0", Max: "1000000", Effect: "Extra attempts that a window allows in addition, over all balancers together."},
	{Path: "terms.revoke", Kind: cvfield.Duration, Default: "0s", Min: "0s", Max: "1h", Effect: "Time within which a withdrawn API key stops working on every VM, whether or not the VM can read the directory. A VM that has not known its configuration to be the newest for so long refuses requests with a key. 0s means no limit."},
	{Path: "terms.quotaWindow", Kind: cvfield.Duration, Default: "5s", Min: "1s", Max: "10m", Effect: "Length of the window in which the requests of a workspace are counted."},
	{Path: "terms.quotaOver", Kind: cvfield.Number, Default: "0", Min: "0", Max: "10", Effect: "Share of a workspace's quota by which the requests of a window may exceed it, over all balancers together."},
	{Path: "terms.quotaSlack", Kind: cvfield.Number, Default: "0", Min: "0", Max: "1000000", Effect: "Requests of a workspace that a window may hold in addition, over all balancers together."},
	{Path: "terms.warmUpOver", Kind: cvfield.Number, Default: "1", Min: "0.1", Max: "100", Effect: "Factor by which an upstream that is warming up may get more requests in a second than its group states, over all balancers together."},
	{Path: "terms.warmUpSlack", Kind: cvfield.Number, Default: "0", Min: "0", Max: "1000000", Effect: "Requests that such an upstream may get in a second in addition."},
	{Path: "terms.evacuate", Kind: cvfield.Duration, Default: "5s", Min: "100ms", Max: "10m", Effect: "Time within which the upstreams of an evacuated data centre stop receiving requests."},
	{Path: "hedging.extraWork", Kind: cvfield.Share, Default: "0%", Min: "0%", Max: "100%", Effect: "Hedges as a share of the requests that may be repeated, within the retry budget. It applies to configurations with workspaces or large requests; 0% leaves hedging to each balancer's own latencies."},
	{Path: "hedging.checkLoad", Kind: cvfield.Share, Default: "0%", Min: "0%", Max: "100%", Effect: "Share of the health checks that upstreams allow (terms.probesPerSecond) which may be used to ask an upstream for its load right before a request is sent to it. It applies to configurations with workspaces or large requests."},
	{Path: "terms.probesPerSecond", Kind: cvfield.Number, Default: "0", Min: "0", Max: "100000", Effect: "Health checks per second that one upstream allows from all balancers together."},
})

// Settings holds the checked settings of a VM. It is safe for concurrent use.
type Settings struct {
	cvcommonsettings.Common
}

// Fields returns the fields of a settings file in the order of the reference page.
func Fields() []cvfield.Field { return schema.Fields() }

// Load reads and checks a settings file. The error has KindNotFound if the file cannot be read, otherwise a line for
// each problem.
func Load(file string) (*Settings, error) { return newSettings(cvcommonsettings.Load(file, schema)) }

// Parse checks the content of a settings file. The error has a line for each problem.
func Parse(file string, content []byte) (*Settings, error) {
	return newSettings(cvcommonsettings.Parse(file, content, schema))
}

func newSettings(common cvcommonsettings.Common, err error) (*Settings, error) {
	if err != nil {
		return nil, err
	}
	return &Settings{Common: common}, nil
}

// ReadinessAddress returns the address for the platform's readiness checks.
func (s *Settings) ReadinessAddress() string { return s.Text("ready") }

// GossipAddress returns the UDP address for gossip with the other balancers.
func (s *Settings) GossipAddress() string { return s.Text("news") }

// SeedAddresses returns the gossip addresses of some other balancers.
func (s *Settings) SeedAddresses() []string {
	// The patterns of the fields ensure that each address has a port.
	_, port, _ := net.SplitHostPort(s.GossipAddress())
	var found []string
	for _, seed := range s.Texts("seeds") {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			found = append(found, net.JoinHostPort(ip, port))
		}
	}
	return found
}

// DataCentres returns the number of data centres that run balancers, or 0 if it is not set.
func (s *Settings) DataCentres() int { return len(s.Texts("dataCentres")) }

// DirectoryAddress returns the address of the platform's log service.
func (s *Settings) DirectoryAddress() string { return s.Text("directory") }

// MemoryMB returns the memory of this VM in megabytes.
func (s *Settings) MemoryMB() int { return s.Count("memory") }

// Terms returns the time bounds and retry budgets of the deployment.
func (s *Settings) Terms() cvterms.Terms {
	return cvterms.New().
		WithStopTimes(s.Duration("terms.drain"), s.Duration("terms.stop"), s.Duration("terms.stable")).
		WithNotice(s.Duration("terms.notice")).
		WithApply(s.Duration("terms.apply")).
		WithRetries(s.Number("terms.retryRatio"), s.Duration("terms.retryWindow"), s.Number("terms.retrySlack")).
		WithProbes(s.Number("terms.probesPerSecond")).
		WithRevoke(s.Duration("terms.revoke")).
		WithQuotas(s.Duration("terms.quotaWindow"), s.Number("terms.quotaOver"), s.Number("terms.quotaSlack")).
		WithWarmUp(s.Number("terms.warmUpOver"), s.Number("terms.warmUpSlack")).
		WithEvacuate(s.Duration("terms.evacuate"))
}

// Regions returns the regions by data centre.
func (s *Settings) Regions() map[string]string {
	regions := make(map[string]string)
	for _, text := range s.Texts("regions") {
		dataCentre, region, _ := strings.Cut(text, "=")
		regions[dataCentre] = region
	}
	return regions
}

// CheckLoad returns the share of the health checks that may be used right before requests are sent, or 0.
func (s *Settings) CheckLoad() float64 { return s.Share("hedging.checkLoad") }

// HedgingExtraWork returns how many hedges each request that may be repeated allows, or 0.
func (s *Settings) HedgingExtraWork() float64 { return s.Share("hedging.extraWork") }
