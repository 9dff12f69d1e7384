package cvbalancer

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/apex/log"

	"comfreyvale"
	"comfreyvale/core/cvview"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/peers/cvclaims"
	"comfreyvale/io/peers/cvgossip"
	"comfreyvale/io/peers/cvhomes"
	"comfreyvale/io/peers/cvmutualtls"
	"comfreyvale/io/peers/cvpeers"
	"comfreyvale/io/store/cvmembership"
)

const (
	// leaveTimeout bounds the time to close the journal and to leave the roster.
	leaveTimeout = 5 * time.Second
	// handOverTimeout bounds the time to hand stored responses over to other balancers.
	handOverTimeout = 5 * time.Second
	// checkpointsPerRetention is the number of checkpoints written within the log's retention time.
	checkpointsPerRetention = 4
	// isolationDelay is how long the log must have failed before a balancer without links to peers reports not ready.
	isolationDelay = 4 * time.Second
	// checkpointChecksPerInterval is how often per checkpoint interval a balancer checks whether a checkpoint is due.
	checkpointChecksPerInterval = 4
	// minClaimWindow is the claim window assumed for lost journals, unless a service has a longer one.
	minClaimWindow = 10 * time.Minute
)

func (b *Balancer) buildCluster(listener net.Listener) error {
	files := &cvmutualtls.Files{
		Certificate: b.Settings.PeerCertificateFile(), Key: b.Settings.PeerKeyFile(), Authority: b.Settings.PeerAuthorityFile(), Name: b.Settings.Group(),
	}
	tlsConfig, err := files.MutualTLS()
	if err != nil {
		return err
	}
	b.peers = &cvpeers.Peers{
		Process: b.process, Listener: listener, TLS: tlsConfig, Handle: b.handlePeerRequest, OnLinkChange: b.linkChanged, Metrics: b.metrics,
	}
	b.membership = &cvmembership.Membership{
		Log: b.Log, Process: b.process, VM: b.Settings.VM(), DataCentre: b.Settings.DataCentre(), PeerAddress: b.Settings.PeerAdvertiseAddress(),
		SuspectAfter: b.Settings.SuspectAfter(), OnViewChange: b.rosterChanged, Unlisted: b.unlisted, Metrics: b.metrics, Logger: b.Logger,
	}
	b.homes = &cvhomes.Homes{
		Process: b.process, Log: b.Log, Peers: b.peers, JournalInterval: b.Settings.JournalInterval(),
		LongestWindow: b.longestWindow, OnJournalSealed: b.membership.EvictSelf, Metrics: b.metrics, Logger: b.Logger,
	}
	b.claims = &cvclaims.Claims{Process: b.process, Homes: b.homes, AnswerBudget: b.Settings.ReplayMemory(), Metrics: b.metrics}
	b.gossip = &cvgossip.Gossip{
		Interval: b.Settings.GossipInterval(), Peers: b.peers, Table: b.table, FillState: b.fillState, Checkpoint: b.follower.Checkpoint,
	}
	b.table.Notify = b.gossip.Wake
	return nil
}

// handlePeerRequest returns nil if the request has no reply.
func (b *Balancer) handlePeerRequest(ctx context.Context, from string, request *cvwire.PeerRequest) *cvwire.PeerReply {
	switch r := request.GetRequest().(type) {
	case *cvwire.PeerRequest_Gossip:
		b.handleGossip(from, r.Gossip)
		return nil
	case *cvwire.PeerRequest_Settle:
		return &cvwire.PeerReply{Reply: &cvwire.PeerReply_Settle{Settle: b.adoptAnswer(r.Settle)}}
	case *cvwire.PeerRequest_Answer:
		return &cvwire.PeerReply{Reply: &cvwire.PeerReply_Answer{Answer: b.claims.AwaitAnswer(ctx, r.Answer)}}
	}
	return b.homes.Handle(ctx, request)
}

func (b *Balancer) handleGossip(from string, message *cvwire.Gossip) {
	now := time.Now()
	b.gossip.RecordPeerCounts(now, from, message)
	for _, m := range message.GetMarks() {
		b.applyMark(now, m)
	}
	if message.GetConfiguration() != nil {
		b.follower.RestoreCheckpoint(message.GetConfiguration())
	}
	if !message.GetWhole() {
		return
	}
	b.membership.RecordReport(message.GetIncarnation(), message.GetLost())
	if message.GetGeneration() < b.follower.Generation() {
		b.gossip.OfferConfiguration(now, from)
	}
}

// fillState adds this balancer's state to a gossip message.
func (b *Balancer) fillState(message *cvwire.Gossip) {
	message.Incarnation = b.membership.Incarnation()
	message.Generation = b.follower.Generation()
	message.Through = b.follower.NextOffset()
	message.Epoch = b.membership.View().Epoch()
	message.Stopping = b.stopping.Load()
	message.Lost = b.membership.Lost()
}

func (b *Balancer) rosterChanged(view *cvview.View, incarnation string) {
	addresses := make(map[string]string)
	var processes []string
	for _, m := range view.Members() {
		if m.GetProcess() != b.process {
			addresses[m.GetProcess()] = m.GetPeerAddress()
			processes = append(processes, m.GetProcess())
		}
	}
	b.peers.SetAddresses(addresses)
	b.gossip.RemoveAbsentPeers(processes)
	b.homes.SetView(view, incarnation)
	b.reportMissingLinks(processes)
	b.applyVMs()
}

// reportMissingLinks reports the members without a link as unreachable. linkChanged reports when a link opens.
func (b *Balancer) reportMissingLinks(processes []string) {
	linked := b.peers.Linked()
	for _, p := range processes {
		if !slices.Contains(linked, p) {
			b.membership.RecordLink(p, false, false)
		}
	}
}

// linkChanged records that a link opened, or that it broke or could not be opened; refused means that the process's
// address refused the connection.
func (b *Balancer) linkChanged(process string, up, refused bool) {
	b.membership.RecordLink(process, up, refused)
	if up {
		b.metrics.StateChanged("linkUp")
		b.Logger.WithField("peer", process).Info("link up")
		return
	}
	if !slices.Contains(b.peers.Linked(), process) {
		b.metrics.StateChanged("linkDown")
		b.gossip.RemovePeerCounts(time.Now(), process)
	}
}

func (b *Balancer) setVMs(vms []comfreyvale.VM) {
	b.mu.Lock()
	b.vms = vms
	b.mu.Unlock()
	b.applyVMs()
}

// applyVMs sets the current VMs and the number of balancers in the table. Calls are serialised, so that none overwrites
// them with an earlier state.
func (b *Balancer) applyVMs() {
	b.tableUpdate.Lock()
	defer b.tableUpdate.Unlock()
	b.mu.Lock()
	vms := b.vms
	b.mu.Unlock()
	b.table.SetVMs(time.Now(), vms, len(b.membership.View().Members()))
}

// unlisted reports whether a member's VM is missing from the VM list or leaving. It returns false until the list has
// been read once.
func (b *Balancer) unlisted(member *cvwire.Member) bool {
	if member == nil || !b.vmListRead.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !slices.ContainsFunc(b.vms, func(v comfreyvale.VM) bool { return v.Name() == member.GetVm() && !v.Leaving() })
}

// longestWindow returns the longest claim window of all services, but at least minClaimWindow.
func (b *Balancer) longestWindow() time.Duration {
	longest := minClaimWindow
	for _, s := range b.table.Services() {
		longest = max(longest, s.ClaimWindow())
	}
	return longest
}

// checkpoint writes checkpoints until the context ends, often enough that the log always retains one. Readers skip a
// late checkpoint of a paused process.
func (b *Balancer) checkpoint(ctx context.Context) error {
	interval := b.Settings.LogRetention() / checkpointsPerRetention
	ticker := time.NewTicker(interval / checkpointChecksPerInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			if b.membership.CheckpointDue(now, interval) {
				b.writeCheckpoints(ctx)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (b *Balancer) writeCheckpoints(ctx context.Context) {
	if err := b.follower.WriteCheckpoint(ctx); err != nil {
		return
	}
	// A failed checkpoint is written again at a later check.
	_ = b.membership.WriteCheckpoint(ctx)
}

// leave closes this process's journal, so that other homes can take its keys over, and leaves the roster.
func (b *Balancer) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := b.homes.Close(ctx); err != nil {
		b.Logger.WithError(err).Warn("closing the journal failed")
	}
	if err := b.membership.Leave(ctx); err != nil {
		b.Logger.WithError(err).Warn("leaving the roster failed")
		return
	}
	b.Logger.WithFields(log.Fields{"incarnation": b.membership.Incarnation()}).Info("left the roster")
}

// adoptAnswer stores a response handed over by a process that shuts down, if this balancer is the key's home, knows the
// grant and has room for the response. Otherwise the sender stays the holder.
func (b *Balancer) adoptAnswer(request *cvwire.SettleRequest) *cvwire.SettleReply {
	if !b.homes.Holds(request.GetGrant()) {
		return &cvwire.SettleReply{}
	}
	if !b.claims.Adopt(time.Now(), request) {
		return &cvwire.SettleReply{NoRoom: true}
	}
	return &cvwire.SettleReply{Accepted: b.homes.Reassign(request.GetGrant())}
}

// handOver sends the stored responses to the homes of their keys, for requests repeated after this process has stopped.
func (b *Balancer) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	accepted := b.claims.HandOver(ctx, b.homes.SendAnswer)
	b.Logger.WithField("answers", accepted).Info("responses handed over")
}

// isolated reports whether this balancer reaches neither the log nor another balancer, so that its configuration may be
// outdated. The only member of the roster is never isolated.
func (b *Balancer) isolated(now time.Time) bool {
	single := len(b.membership.View().Members()) < 2
	return !single && len(b.peers.Linked()) == 0 && b.follower.FailingFor(now) > isolationDelay
}
