package cvnode

import (
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"comfreyvale"
	"comfreyvale/core/cvlease"
	"comfreyvale/core/cvwire"
)

// configurationLease is the lease on the configuration in force.
type configurationLease struct {
	mu    sync.Mutex
	lease cvlease.Lease
	// valid is whether the lease was valid at the last check, for the log.
	valid bool
}

// configurationConfirmed reports whether the configuration in force is known to have been the newest within the time in
// which a withdrawn API key must stop working. The configuration must be loaded after the call: in the other order, an
// older one could be used with a proof for its successor.
func (n *Node) configurationConfirmed() bool {
	term := n.terms().Revoke()
	if term <= 0 {
		return true
	}
	n.lease.mu.Lock()
	defer n.lease.mu.Unlock()
	return n.lease.lease.Valid(n.BootClock(), term)
}

// confirmedAge returns the time since the configuration in force was last known to be the newest, or false if it never
// was.
func (n *Node) confirmedAge() (time.Duration, bool) {
	n.lease.mu.Lock()
	defer n.lease.mu.Unlock()
	return n.lease.lease.Age(n.BootClock())
}

func (n *Node) unconfirmedReason() string {
	if age, ok := n.confirmedAge(); ok {
		return fmt.Sprintf("the configuration was last known to be the newest %d ms ago", age.Milliseconds())
	}
	return "the configuration is not known to be the newest"
}

func (n *Node) versionInForce() int64 {
	if t := n.routes.Load(); t != nil {
		return t.Version()
	}
	return 0
}

// confirmByRead records a read of the operator's directory whose records have been applied.
func (n *Node) confirmByRead(changes comfreyvale.Changes) {
	start, ok := changes.CompleteAt()
	if !ok {
		return
	}
	n.lease.mu.Lock()
	n.lease.lease.RecordRead(start, changes.Next().Era())
	n.lease.mu.Unlock()
	n.checkLease(time.Now())
}

// confirmByPeer records the statement of another balancer that its configuration was the newest at a moment.
func (n *Node) confirmByPeer(version int64, at time.Duration) {
	inForce := n.versionInForce()
	n.lease.mu.Lock()
	counts := n.lease.lease.RecordStatement(n.BootClock(), at, version, inForce)
	n.lease.mu.Unlock()
	if counts {
		n.metrics.ConfigurationConfirmed(string(cvlease.SourcePeer))
	}
}

// observeVersions records the versions of the configuration that a message reports.
func (n *Node) observeVersions(message *cvwire.News) {
	if !message.GetWhole() && len(message.GetMembers()) == 0 {
		return
	}
	n.lease.mu.Lock()
	defer n.lease.mu.Unlock()
	n.lease.lease.ObserveVersion(message.GetVersion())
	for _, m := range message.GetMembers() {
		n.lease.lease.ObserveVersion(m.GetVersion())
	}
}

// addConfirmation adds this balancer's clock and the age of its proof to a full message. The version must be added after
// it, so that the proof is not one for a later version.
func (n *Node) addConfirmation(message *cvwire.News) {
	term := n.terms().Revoke()
	if term <= 0 {
		return
	}
	now := n.BootClock()
	message.ClockMs = uint64(now.Milliseconds())
	n.lease.mu.Lock()
	age, ok := n.lease.lease.Age(now)
	n.lease.mu.Unlock()
	if ok && age < term {
		// Rounded up, as all other times in the statement are rounded down.
		message.ConfirmedAgeMs = uint32((age + time.Millisecond - 1).Milliseconds()) + 1
	}
}

// checkLease counts an own read as soon as nothing speaks against it, and logs when the lease has expired and when it is
// valid again.
func (n *Node) checkLease(now time.Time) {
	term := n.terms().Revoke()
	if term <= 0 {
		return
	}
	isolated, t := n.news.Isolated(now), n.routes.Load()
	if t == nil {
		return
	}
	l := &n.lease
	l.mu.Lock()
	boot := n.BootClock()
	counted := l.lease.Settle(boot, t.Version(), isolated)
	valid := l.lease.Valid(boot, term)
	changed := valid != l.valid
	l.valid = valid
	age, known := l.lease.Age(boot)
	held, newest := l.lease.Held()
	source := l.lease.Source()
	l.mu.Unlock()
	if counted {
		n.metrics.ConfigurationConfirmed(string(cvlease.SourceRead))
	}
	if !changed || t.Workspaces() == nil {
		return
	}
	fields := log.Fields{"version": t.Version(), "limitMs": term.Milliseconds()}
	if known {
		fields["confirmedAgeMs"] = age.Milliseconds()
	}
	if valid {
		fields["source"] = string(source)
		n.Logger.WithFields(fields).Info("configuration confirmed: requests with API keys are served")
		return
	}
	fields["readHeld"], fields["newestVersion"] = held, newest
	n.Logger.WithFields(fields).Warn("configuration unconfirmed for too long: requests with API keys are refused")
}

// shouldReadAtOnce reports whether a read of the operator's directory should return at once.
func (n *Node) shouldReadAtOnce() bool {
	term := n.terms().Revoke()
	if term <= 0 {
		return false
	}
	n.lease.mu.Lock()
	defer n.lease.mu.Unlock()
	return n.lease.lease.ShouldReadAtOnce(n.BootClock(), term)
}

// shouldReadItself reports whether this balancer should read the operator's directory although another one does.
func (n *Node) shouldReadItself() bool {
	term := n.terms().Revoke()
	if term <= 0 {
		return false
	}
	deputy := !n.lastReadFailed(time.Now()) && n.news.IsDeputyReader(time.Now())
	n.lease.mu.Lock()
	defer n.lease.mu.Unlock()
	return n.lease.lease.ShouldRead(n.BootClock(), term, deputy)
}
