package cvnode

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"

	"comfreyvale"
	"comfreyvale/core/cvevacuation"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/balancers/cvpause"
)

// snapshot returns this balancer's instances and its routes, the routes only if they are newer than haveVersion.
func (n *Node) snapshot(haveVersion int64) *cvwire.Snapshot {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := &cvwire.Snapshot{DirectoryAway: n.directoryUnavailable()}
	if t := n.routes.Load(); t != nil {
		s.Version = t.Version()
		if t.Version() > haveVersion {
			s.Routes = n.routesRecord
		}
	}
	n.addEvacuation(s)
	for _, i := range n.fleet.Instances() {
		s.Entries = append(s.Entries, &cvwire.Entry{
			Id: i.ID(), Group: i.Group(), Address: i.Address(), DataCentre: i.DataCentre(), Slots: uint32(i.Slots()),
			Draining: i.Draining(), WarmUpMs: uint32(i.WarmUp().Milliseconds()), Born: i.StartUnixMilli(), Sequence: i.Sequence(),
		})
	}
	return s
}

// directoryUnavailable reports whether this balancer can't tell which upstreams were removed, because it can't read the
// directory of upstreams now or never has. The caller holds n.mu.
func (n *Node) directoryUnavailable() bool {
	return n.fleet.DirectoryUnreachable() || !n.upstreamsLoaded
}

// runRelay periodically fetches from another balancer what this balancer can't read itself.
func (n *Node) runRelay(ctx context.Context) error {
	for ctx.Err() == nil {
		if address := n.peerToAsk(); address != "" {
			n.fetchSnapshot(ctx, address)
		}
		cvpause.For(ctx, n.terms().PeerPollInterval())
	}
	return nil
}

// peerToAsk returns the address of the balancer to fetch a snapshot from, or "". If this balancer can't read the
// directory of upstreams, it prefers a peer that can. Otherwise it returns the peer with the newest configuration, but
// only if this balancer has an older configuration, no configuration or no upstreams. If it lacks records of the
// operator, which may be evacuations, it returns a peer that has them.
func (n *Node) peerToAsk() string {
	n.mu.Lock()
	unreachable, empty := n.fleet.DirectoryUnreachable(), len(n.fleet.Instances()) == 0
	n.mu.Unlock()
	t := n.routes.Load()
	address, version := n.news.NewestVersion()
	if upToDate := t != nil && t.Version() >= version && !empty; upToDate {
		address = ""
	}
	if reader := n.news.DirectorySource(); unreachable && reader != "" {
		address = reader
	}
	if ahead := n.aheadInRecords(time.Now()); address == "" {
		address = ahead
	}
	if address == "" {
		return ""
	}
	peer, err := n.relayAddress(address)
	if err != nil {
		n.Logger.WithField("peer", address).WithError(err).Warn("the peer's address is invalid")
		return ""
	}
	return peer
}

// relayAddress returns the peer address for a gossip address. All VMs use the same ports.
func (n *Node) relayAddress(gossipAddress string) (string, error) {
	host, _, err := net.SplitHostPort(gossipAddress)
	if err != nil {
		return "", fail("address", comfreyvale.KindInvalid, err)
	}
	_, port, err := net.SplitHostPort(n.Settings.PeerAddress())
	if err != nil {
		return "", fail("address", comfreyvale.KindInvalid, err)
	}
	return net.JoinHostPort(host, port), nil
}

func (n *Node) fetchSnapshot(ctx context.Context, address string) {
	haveVersion := int64(0)
	if t := n.routes.Load(); t != nil {
		haveVersion = t.Version()
	}
	s, err := n.relay.FetchSnapshot(ctx, address, haveVersion)
	if err != nil {
		n.Logger.WithField("peer", address).WithError(err).Info("cannot fetch the peer's snapshot")
		return
	}
	n.Logger.WithFields(log.Fields{"peer": address, "version": s.GetVersion(), "upstreams": len(s.GetEntries()), "away": s.GetDirectoryAway()}).Info("fetched the peer's snapshot")
	// Evacuations come before the configuration, as in routesChanged.
	n.updateEvacuation(time.Now(), address, func(e *cvevacuation.Evacuation) {
		e.Told(comfreyvale.NewPosition(s.GetEvacuatedEra(), s.GetEvacuatedNext()), s.GetEvacuated())
	})
	if len(s.GetRoutes()) > 0 {
		n.applyRoutes(comfreyvale.NewChange(n.ConfigurationKey, s.GetRoutes(), -1))
	}
	n.applyEntries(time.Now(), s)
}

// applyEntries applies the instances of another balancer's snapshot if this balancer can't read the directory of
// upstreams or knows no instances. Missing instances are removed only if the other balancer can read the directory.
func (n *Node) applyEntries(now time.Time, s *cvwire.Snapshot) {
	n.mu.Lock()
	if !n.fleet.DirectoryUnreachable() && len(n.fleet.Instances()) > 0 {
		n.mu.Unlock()
		return
	}
	var found []*cvinstance.Instance
	for _, e := range s.GetEntries() {
		i := cvinstance.New(e.GetId(), e.GetGroup(), e.GetAddress(), e.GetDataCentre(), int(e.GetSlots())).
			WithState(e.GetDraining(), time.Duration(e.GetWarmUpMs())*time.Millisecond).WithSequence(e.GetBorn(), e.GetSequence())
		if err := i.Check(now); err != nil {
			n.Logger.WithField("upstream", e.GetId()).WithError(err).Warn("ignored an invalid upstream of another balancer")
			continue
		}
		found = append(found, i)
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
