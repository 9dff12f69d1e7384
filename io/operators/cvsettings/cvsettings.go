// Package cvsettings is the checked settings file of one VM.
package cvsettings

import (
	"time"

	"comfreyvale/core/cvfield"
	"comfreyvale/core/cvschema"
	"comfreyvale/io/operators/cvcommonsettings"
)

const (
	namePattern = `[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?`
	nameAllowed = "1 to 63 of a-z, 0-9 and -"
)

// schema lists the fields of a settings file.
var schema = cvschema.New([]cvfield.Field{
	{Path: "vm", Kind: cvfield.Text, Required: true, Pattern: namePattern, Allowed: nameAllowed, Effect: "Names this VM, as the platform's list does."},
	{Path: "dataCentre", Kind: cvfield.Text, Required: true, Pattern: namePattern, Allowed: nameAllowed, Effect: "Names the data centre that this VM runs in."},
	{Path: "listen", Kind: cvfield.Text, Required: true, Pattern: cvcommonsettings.AddressPattern, Allowed: cvcommonsettings.AddressAllowed, Effect: "Address for callers."},
	{Path: "admin", Kind: cvfield.Text, Required: true, Pattern: cvcommonsettings.AddressPattern, Allowed: cvcommonsettings.AddressAllowed, Effect: "Address for operators: status, explain, metrics, readiness."},
	{Path: "peer", Kind: cvfield.Text, Required: true, Pattern: cvcommonsettings.AddressPattern, Allowed: cvcommonsettings.AddressAllowed, Effect: "Address for the other balancers."},
	{Path: "peerAdvertise", Kind: cvfield.Text, Default: "", Pattern: `|` + cvcommonsettings.AddressPattern, Allowed: cvcommonsettings.AddressAllowed, Effect: "Address that the other balancers reach the peer address by, where it differs."},
	{Path: "logRetention", Kind: cvfield.Duration, Default: "1h", Min: "1s", Max: "720h", Effect: "How long the platform's log keeps records at least; checkpoints are written four times as often."},
	{Path: "group", Kind: cvfield.Text, Default: "comfreyvale", Pattern: namePattern, Allowed: nameAllowed, Effect: "Group of the balancers in the platform's VM list."},
	{Path: "log.address", Kind: cvfield.Text, Required: true, Pattern: cvcommonsettings.URLPattern, Allowed: cvcommonsettings.URLAllowed, Effect: "The platform's log service."},
	{Path: "vmList.address", Kind: cvfield.Text, Required: true, Pattern: cvcommonsettings.URLPattern, Allowed: cvcommonsettings.URLAllowed, Effect: "The platform's VM list."},
	{Path: "vmList.poll", Kind: cvfield.Duration, Default: "1s", Min: "100ms", Max: "1m", Effect: "How often the VM list is read."},
	{Path: "policy", Kind: cvfield.Text, Default: "soonest", Pattern: "soonest|leastOfTwo|robin|random|probing", Allowed: "soonest, leastOfTwo, robin, random or probing", Effect: "Routing policy; all but soonest are there for comparison."},
	{Path: "gossip", Kind: cvfield.Duration, Default: "10ms", Min: "1ms", Max: "1s", Effect: "How often changes are told to the other balancers at most."},
	{Path: "suspectAfter", Kind: cvfield.Duration, Default: "3s", Min: "500ms", Max: "1m", Effect: "How long a balancer must be unreachable for most others before it is taken out of the roster."},
	{Path: "journalInterval", Kind: cvfield.Duration, Default: "20ms", Min: "1ms", Max: "1s", Effect: "Time between two journal appends of one home at least; claims in between share one."},
	{Path: "answerMemory", Kind: cvfield.Size, Default: "64MiB", Min: "1MiB", Max: "4GiB", Effect: "Bytes of answers that are held at a time until they are whole; further ones stream."},
	{Path: "replayMemory", Kind: cvfield.Size, Default: "16MiB", Min: "1MiB", Max: "4GiB", Effect: "Bytes of answers that are kept for resends of their keys."},
	{Path: "stop.lag", Kind: cvfield.Duration, Default: "5s", Min: "0s", Max: "5m", Effect: "After the stop signal, how long new calls are still taken, until the platform's balancer knows."},
	{Path: "stop.limit", Kind: cvfield.Duration, Default: "1m", Min: "1s", Max: "1h", Effect: "After the lag, how long calls in progress may take before they are cut. Each use is counted and logged."},
	{Path: "tls.certificate", Kind: cvfield.Text, Default: "", Effect: "PEM file with the certificate for callers; without it callers speak plain HTTP."},
	{Path: "tls.key", Kind: cvfield.Text, Default: "", Effect: "PEM file with the certificate's key."},
	{Path: "peerTls.certificate", Kind: cvfield.Text, Default: "", Effect: "PEM file with this VM's certificate for the other balancers; without it the peer links are plain."},
	{Path: "peerTls.key", Kind: cvfield.Text, Default: "", Effect: "PEM file with that certificate's key."},
	{Path: "peerTls.authority", Kind: cvfield.Text, Default: "", Effect: "PEM file with the authority that signs the balancers' certificates."},
	{Path: "traces", Kind: cvfield.Text, Default: "", Pattern: `|` + cvcommonsettings.URLPattern, Allowed: cvcommonsettings.URLAllowed, Effect: "OTLP endpoint for traces; none are sent without it."},
	{Path: "traceShare", Kind: cvfield.Share, Default: "1%", Min: "0%", Max: "100%", Effect: "Share of calls that are traced, where the caller did not decide."},
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

// PeerAdvertiseAddress is the address that the other balancers use.
func (s *Settings) PeerAdvertiseAddress() string {
	if a := s.Text("peerAdvertise"); a != "" {
		return a
	}
	return s.PeerAddress()
}

// LogRetention is how long the platform's log keeps records at least.
func (s *Settings) LogRetention() time.Duration { return s.Duration("logRetention") }

// Group is the balancers' group in the VM list.
func (s *Settings) Group() string { return s.Text("group") }

// LogAddress is the URL of the platform's log service.
func (s *Settings) LogAddress() string { return s.Text("log.address") }

// VMListAddress is the URL of the platform's VM list.
func (s *Settings) VMListAddress() string { return s.Text("vmList.address") }

// VMListPollInterval is the time between two reads of the VM list.
func (s *Settings) VMListPollInterval() time.Duration { return s.Duration("vmList.poll") }

// Policy is the name of the routing policy.
func (s *Settings) Policy() string { return s.Text("policy") }

// GossipInterval is the shortest time between two messages of news to a peer.
func (s *Settings) GossipInterval() time.Duration { return s.Duration("gossip") }

// SuspectAfter is how long a balancer must be unreachable before it leaves the roster.
func (s *Settings) SuspectAfter() time.Duration { return s.Duration("suspectAfter") }

// JournalInterval is the shortest time between two journal appends.
func (s *Settings) JournalInterval() time.Duration { return s.Duration("journalInterval") }

// AnswerMemory is how many bytes of answers are held at a time.
func (s *Settings) AnswerMemory() int64 { return s.Size("answerMemory") }

// ReplayMemory is how many bytes of answers are kept for resends.
func (s *Settings) ReplayMemory() int64 { return s.Size("replayMemory") }

// StopLag is how long new calls are taken after the stop signal.
func (s *Settings) StopLag() time.Duration { return s.Duration("stop.lag") }

// StopLimit is how long calls in progress may take after the lag.
func (s *Settings) StopLimit() time.Duration { return s.Duration("stop.limit") }

// CertificateFile is the PEM file of the certificate for callers, or empty.
func (s *Settings) CertificateFile() string { return s.Text("tls.certificate") }

// KeyFile is the PEM file of that certificate's key, or empty.
func (s *Settings) KeyFile() string { return s.Text("tls.key") }

// PeerCertificateFile is the PEM file of the certificate for the other balancers, or empty.
func (s *Settings) PeerCertificateFile() string { return s.Text("peerTls.certificate") }

// PeerKeyFile is the PEM file of that certificate's key, or empty.
func (s *Settings) PeerKeyFile() string { return s.Text("peerTls.key") }

// PeerAuthorityFile is the PEM file of the authority of the balancers' certificates, or empty.
func (s *Settings) PeerAuthorityFile() string { return s.Text("peerTls.authority") }
