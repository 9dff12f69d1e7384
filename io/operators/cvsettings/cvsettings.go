// Package cvsettings provides the settings of a VM whose services come from the configuration stream of the log.
package cvsettings

import (
	"time"

	"comfreyvale/core/cvfield"
	"comfreyvale/core/cvschema"
	"comfreyvale/io/operators/cvcommonsettings"
)

// The valid names of VMs, data centres and groups, as a pattern and as a description.
const (
	namePattern = `[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?`
	nameAllowed = "1 to 63 of a-z, 0-9 and -"
)

var schema = cvschema.New([]cvfield.Field{
	{Path: "vm", Kind: cvfield.Text, Required: true, Pattern: namePattern, Allowed: nameAllowed, Effect: "Name of this VM in the platform's VM list."},
	{Path: "dataCentre", Kind: cvfield.Text, Required: true, Pattern: namePattern, Allowed: nameAllowed, Effect: "Name of the data centre that this VM runs in."},
	{Path: "listen", Kind: cvfield.Text, Required: true, Pattern: cvcommonsettings.AddressPattern, Allowed: cvcommonsettings.AddressAllowed, Effect: "Address for callers."},
	{Path: "admin", Kind: cvfield.Text, Required: true, Pattern: cvcommonsettings.AddressPattern, Allowed: cvcommonsettings.AddressAllowed, Effect: "Address for operators: status, explain, metrics, readiness."},
	{Path: "peer", Kind: cvfield.Text, Required: true, Pattern: cvcommonsettings.AddressPattern, Allowed: cvcommonsettings.AddressAllowed, Effect: "Address for the other balancers."},
	{Path: "peerAdvertise", Kind: cvfield.Text, Default: "", Pattern: `|` + cvcommonsettings.AddressPattern, Allowed: cvcommonsettings.AddressAllowed, Effect: "Address at which the other balancers reach the peer address, if it differs."},
	{Path: "logRetention", Kind: cvfield.Duration, Default: "1h", Min: "1s", Max: "720h", Effect: "Minimum time that the platform's log keeps records. Checkpoints are written four times in this time."},
	{Path: "group", Kind: cvfield.Text, Default: "comfreyvale", Pattern: namePattern, Allowed: nameAllowed, Effect: "Group of the balancers in the platform's VM list."},
	{Path: "log.address", Kind: cvfield.Text, Required: true, Pattern: cvcommonsettings.URLPattern, Allowed: cvcommonsettings.URLAllowed, Effect: "URL of the platform's log service."},
	{Path: "vmList.address", Kind: cvfield.Text, Required: true, Pattern: cvcommonsettings.URLPattern, Allowed: cvcommonsettings.URLAllowed, Effect: "URL of the platform's VM list."},
	{Path: "vmList.poll", Kind: cvfield.Duration, Default: "1s", Min: "100ms", Max: "1m", Effect: "Time between two reads of the VM list."},
	{Path: "policy", Kind: cvfield.Text, Default: "soonest", Pattern: "soonest|leastOfTwo|robin|random|probing", Allowed: "soonest, leastOfTwo, robin, random or probing", Effect: "Routing policy. All policies except soonest exist for comparison."},
	{Path: "gossip", Kind: cvfield.Duration, Default: "10ms", Min: "1ms", Max: "1s", Effect: "Minimum time between two messages that send changes to another balancer."},
	{Path: "suspectAfter", Kind: cvfield.Duration, Default: "3s", Min: "500ms", Max: "1m", Effect: "Time that a balancer must be unreachable from most others before it is evicted from the roster."},
	{Path: "journalInterval", Kind: cvfield.Duration, Default: "20ms", Min: "1ms", Max: "1s", Effect: "Minimum time between two journal appends of one home. Claims that arrive in between share one append."},
	{Path: "answerMemory", Kind: cvfield.Size, Default: "64MiB", Min: "1MiB", Max: "4GiB", Effect: "Maximum bytes of incomplete answers that are buffered at a time. Further answers are streamed."},
	{Path: "requestMemory", Kind: cvfield.Size, Default: "256MiB", Min: "1MiB", Max: "64GiB", Effect: "Maximum bytes of request bodies that are held at a time. One caller's may take half of it, those above 256 KiB three quarters. Further requests are refused."},
	{Path: "replayMemory", Kind: cvfield.Size, Default: "16MiB", Min: "1MiB", Max: "4GiB", Effect: "Maximum bytes of answers that are kept to be replayed for repeated idempotency keys."},
	{Path: "stop.lag", Kind: cvfield.Duration, Default: "5s", Min: "0s", Max: "5m", Effect: "Time after the stop signal in which new calls are still accepted, because the platform's balancer sends them until it notices the stop."},
	{Path: "stop.limit", Kind: cvfield.Duration, Default: "1m", Min: "1s", Max: "1h", Effect: "Time after the lag in which in-flight calls may finish. 0.2 s before its end, calls that remain are answered; the connections of those that are left are closed, counted and logged. After half of the lag and this time together, calls whose timeout ends later are refused."},
	{Path: "tls.certificate", Kind: cvfield.Text, Default: "", Effect: "PEM file with the certificate for callers. Without it, callers use plain HTTP."},
	{Path: "tls.key", Kind: cvfield.Text, Default: "", Effect: "PEM file with the private key of the certificate for callers."},
	{Path: "peerTls.certificate", Kind: cvfield.Text, Default: "", Effect: "PEM file with this VM's certificate for the other balancers. Without it, the links to them are not encrypted."},
	{Path: "peerTls.key", Kind: cvfield.Text, Default: "", Effect: "PEM file with the private key of the certificate for the other balancers."},
	{Path: "peerTls.authority", Kind: cvfield.Text, Default: "", Effect: "PEM file with the certificate of the authority that signs the balancers' certificates."},
	{Path: "traces", Kind: cvfield.Text, Default: "", Pattern: `|` + cvcommonsettings.URLPattern, Allowed: cvcommonsettings.URLAllowed, Effect: "OTLP endpoint for traces. Without it, no traces are sent."},
	{Path: "traceShare", Kind: cvfield.Share, Default: "1%", Min: "0%", Max: "100%", Effect: "Share of calls that are traced if the caller sends no sampling decision."},
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

// PeerAdvertiseAddress returns the address at which the other balancers reach this VM.
func (s *Settings) PeerAdvertiseAddress() string {
	if a := s.Text("peerAdvertise"); a != "" {
		return a
	}
	return s.PeerAddress()
}

// LogRetention returns the minimum time that the log keeps records.
func (s *Settings) LogRetention() time.Duration { return s.Duration("logRetention") }

// Group returns the group of the balancers in the VM list.
func (s *Settings) Group() string { return s.Text("group") }

// LogAddress returns the URL of the platform's log service.
func (s *Settings) LogAddress() string { return s.Text("log.address") }

// VMListAddress returns the URL of the platform's VM list.
func (s *Settings) VMListAddress() string { return s.Text("vmList.address") }

// VMListPollInterval returns the time between two reads of the VM list.
func (s *Settings) VMListPollInterval() time.Duration { return s.Duration("vmList.poll") }

// Policy returns the name of the routing policy.
func (s *Settings) Policy() string { return s.Text("policy") }

// GossipInterval returns the minimum time between two gossip messages to a peer.
func (s *Settings) GossipInterval() time.Duration { return s.Duration("gossip") }

// SuspectAfter returns the time that a balancer must be unreachable before it is evicted from the roster.
func (s *Settings) SuspectAfter() time.Duration { return s.Duration("suspectAfter") }

// JournalInterval returns the minimum time between two journal appends.
func (s *Settings) JournalInterval() time.Duration { return s.Duration("journalInterval") }

// AnswerMemory returns the maximum bytes of incomplete answers in memory at a time.
func (s *Settings) AnswerMemory() int64 { return s.Size("answerMemory") }

// RequestMemory returns the maximum bytes of request bodies that are held at a time.
func (s *Settings) RequestMemory() int64 { return s.Size("requestMemory") }

// ReplayMemory returns the maximum bytes of answers kept for replay.
func (s *Settings) ReplayMemory() int64 { return s.Size("replayMemory") }

// StopLag returns the time after the stop signal during which new calls are accepted.
func (s *Settings) StopLag() time.Duration { return s.Duration("stop.lag") }

// StopLimit returns the time after StopLag in which in-flight calls may finish.
func (s *Settings) StopLimit() time.Duration { return s.Duration("stop.limit") }

// CertificateFile returns the path of the PEM certificate for callers, or an empty string.
func (s *Settings) CertificateFile() string { return s.Text("tls.certificate") }

// KeyFile returns the path of the PEM private key of that certificate, or an empty string.
func (s *Settings) KeyFile() string { return s.Text("tls.key") }

// PeerCertificateFile returns the path of the PEM certificate for the other balancers, or an empty string.
func (s *Settings) PeerCertificateFile() string { return s.Text("peerTls.certificate") }

// PeerKeyFile returns the path of the PEM private key of that certificate, or an empty string.
func (s *Settings) PeerKeyFile() string { return s.Text("peerTls.key") }

// PeerAuthorityFile returns the path of the PEM certificate of the authority that signs the balancers' certificates, or
// an empty string.
func (s *Settings) PeerAuthorityFile() string { return s.Text("peerTls.authority") }
