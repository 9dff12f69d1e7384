package cvnode

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"

	"comfreyvale"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/balancers/cvpause"
)

// snapshot is what this balancer knows of the directories.
func (n *Node) snapshot(have int64) *cvwire.Snapshot {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := &cvwire.Snapshot{DirectoryAway: n.isAway()}
	if t := n.routes.Load(); t != nil {
		s.Version = t.Version()
		if t.Version() > have {
			s.Routes = n.record
		}
	}
	for _, i := range n.fleet.Instances() {
		s.Entries = append(s.Entries, &cvwire.Entry{
			Id: i.ID(), Group: i.Group(), Address: i.Address(), DataCentre: i.DataCentre(), Slots: uint32(i.Slots()),
			Draining: i.Draining(), WarmUpMs: uint32(i.WarmUp().Milliseconds()), Born: i.StartUnixMilli(), Sequence: i.Sequence(),
		})
	}
	return s
}

// isAway says whether this balancer cannot tell which upstreams are gone: its directory is out of reach, or was not read yet.
// The caller holds the lock.
func (n *Node) isAway() bool { return n.fleet.DirectoryUnreachable() || !n.upstreamsTaken }

// relay asks another balancer for what this one cannot read itself.
func (n *Node) relay(ctx context.Context) error {
	for ctx.Err() == nil {
		if address := n.helper(); address != "" {
			n.fetch(ctx, address)
		}
		cvpause.For(ctx, n.terms().PeerPollInterval())
	}
	return nil
}

// helper is the balancer to ask: one that can read the directories if this one cannot, else one that knows a newer
// configuration, or any if this one knows nothing. It is empty when nobody can help.
func (n *Node) helper() string {
	n.mu.Lock()
	away, empty := n.fleet.DirectoryUnreachable(), len(n.fleet.Instances()) == 0
	n.mu.Unlock()
	t := n.routes.Load()
	address, version := n.news.Newest()
	if known := t != nil && t.Version() >= version && !empty; known {
		address = ""
	}
	if reaching := n.news.Reaching(); away && reaching != "" {
		address = reaching
	}
	if address == "" {
		return ""
	}
	peer, err := n.relayAddress(address)
	if err != nil {
		n.Logger.WithField("peer", address).WithError(err).Warn("peer's address is invalid")
		return ""
	}
	return peer
}

// relayAddress is where a balancer whose news come from an address answers others: ports are the same on all VMs.
func (n *Node) relayAddress(news string) (string, error) {
	host, _, err := net.SplitHostPort(news)
	if err != nil {
		return "", fail("address", comfreyvale.KindInvalid, err)
	}
	_, port, err := net.SplitHostPort(n.Settings.Peer())
	if err != nil {
		return "", fail("address", comfreyvale.KindInvalid, err)
	}
	return net.JoinHostPort(host, port), nil
}

// fetch takes over what another balancer knows.
func (n *Node) fetch(ctx context.Context, address string) {
	have := int64(0)
	if t := n.routes.Load(); t != nil {
		have = t.Version()
	}
	s, err := n.relays.Fetch(ctx, address, have)
	if err != nil {
		n.Logger.WithField("peer", address).WithError(err).Info("peer's snapshot cannot be had")
		return
	}
	n.Logger.WithFields(log.Fields{"peer": address, "version": s.GetVersion(), "upstreams": len(s.GetEntries()), "away": s.GetDirectoryAway()}).Info("peer's snapshot taken")
	if len(s.GetRoutes()) > 0 {
		n.takeRoutes(comfreyvale.NewChange(n.ConfigurationKey, s.GetRoutes(), -1))
	}
	n.takeEntries(time.Now(), s)
}

// takeEntries takes over the instances that another balancer knows. Only one that can read the directory knows who is gone.
func (n *Node) takeEntries(now time.Time, s *cvwire.Snapshot) {
	n.mu.Lock()
	if !n.fleet.DirectoryUnreachable() && len(n.fleet.Instances()) > 0 {
		n.mu.Unlock()
		return
	}
	var found []*cvinstance.Instance
	for _, e := range s.GetEntries() {
		found = append(found, cvinstance.New(e.GetId(), e.GetGroup(), e.GetAddress(), e.GetDataCentre(), int(e.GetSlots())).
			WithState(e.GetDraining(), time.Duration(e.GetWarmUpMs())*time.Millisecond).WithSequence(e.GetBorn(), e.GetSequence()))
	}
	changed := false
	if s.GetDirectoryAway() {
		for _, i := range found {
			changed = n.fleet.Put(now, i) || changed
		}
	} else {
		changed = n.fleet.ReplaceFromPeer(now, found)
	}
	n.mu.Unlock()
	if changed {
		n.updateGroups(now)
	}
}
