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
	// leaveTime is how long leaving the roster in order may take.
	leaveTime = 5 * time.Second
	// handOverTime is how long handing finished answers over may take.
	handOverTime = 5 * time.Second
	// checkpointsPerRetention is how many checkpoints are written in the time that the log keeps records.
	checkpointsPerRetention = 4
	// isolationTime is how long the log must fail, without any link, before a balancer takes no new calls.
	isolationTime = 4 * time.Second
	// checkpointLooks is how often in an interval a checkpoint may become due.
	checkpointLooks = 4
	// shortestWindow is the claim window that lost journals are judged by when no service says more.
	shortestWindow = 10 * time.Minute
)

// buildCluster makes the parts that speak with the other balancers.
func (b *Balancer) buildCluster(listener net.Listener) error {
	keys := &cvmutualtls.Files{
		Certificate: b.Settings.PeerCertificateFile(), Key: b.Settings.PeerKeyFile(), Authority: b.Settings.PeerAuthorityFile(), Name: b.Settings.Group(),
	}
	secure, err := keys.MutualTLS()
	if err != nil {
		return err
	}
	b.peers = &cvpeers.Peers{
		Process: b.process, Listener: listener, TLS: secure, Handle: b.handle, OnLinkChange: b.linkChanged, Metrics: b.metrics,
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
		Interval: b.Settings.GossipInterval(), Peers: b.peers, Table: b.table, FillState: b.describe, Checkpoint: b.follower.Checkpoint,
	}
	b.table.Notify = b.gossip.Wake
	return nil
}

// handle answers a peer.
func (b *Balancer) handle(ctx context.Context, from string, request *cvwire.PeerRequest) *cvwire.PeerReply {
	switch r := request.GetRequest().(type) {
	case *cvwire.PeerRequest_Gossip:
		b.hear(from, r.Gossip)
		return nil
	case *cvwire.PeerRequest_Settle:
		return &cvwire.PeerReply{Reply: &cvwire.PeerReply_Settle{Settle: b.settle(r.Settle)}}
	case *cvwire.PeerRequest_Answer:
		return &cvwire.PeerReply{Reply: &cvwire.PeerReply_Answer{Answer: b.claims.AwaitAnswer(ctx, r.Answer)}}
	}
	return b.homes.Handle(ctx, request)
}

// hear takes a peer's news.
func (b *Balancer) hear(from string, news *cvwire.Gossip) {
	now := time.Now()
	b.gossip.RecordPeerCounts(now, from, news)
	for _, m := range news.GetMarks() {
		b.takeMark(now, m)
	}
	if news.GetConfiguration() != nil {
		b.follower.RestoreCheckpoint(news.GetConfiguration())
	}
	if !news.GetWhole() {
		return
	}
	b.membership.RecordReport(news.GetIncarnation(), news.GetLost())
	if news.GetGeneration() < b.follower.Generation() {
		b.gossip.OfferConfiguration(now, from)
	}
}

// describe says what peers must know of this balancer.
func (b *Balancer) describe(news *cvwire.Gossip) {
	news.Incarnation = b.membership.Incarnation()
	news.Generation = b.follower.Generation()
	news.Through = b.follower.NextOffset()
	news.Epoch = b.membership.View().Epoch()
	news.Stopping = b.stopping.Load()
	news.Lost = b.membership.Lost()
}

// rosterChanged takes a new roster: who is linked, who is a home.
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
	b.noteMissing(processes)
	b.applyVMs()
}

// noteMissing counts members without a link as missed until their link comes.
func (b *Balancer) noteMissing(processes []string) {
	linked := b.peers.Linked()
	for _, p := range processes {
		if !slices.Contains(linked, p) {
			b.membership.RecordLink(p, false, false)
		}
	}
}

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

// setVMs takes the platform's list.
func (b *Balancer) setVMs(vms []comfreyvale.VM) {
	b.mu.Lock()
	b.vms = vms
	b.mu.Unlock()
	b.applyVMs()
}

func (b *Balancer) applyVMs() {
	b.mu.Lock()
	vms := b.vms
	b.mu.Unlock()
	b.table.SetVMs(time.Now(), vms, len(b.membership.View().Members()))
}

// unlisted says whether the platform's list, once read, lacks a member's VM or calls it leaving.
func (b *Balancer) unlisted(member *cvwire.Member) bool {
	if member == nil || !b.listed.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !slices.ContainsFunc(b.vms, func(v comfreyvale.VM) bool { return v.Name() == member.GetVm() && !v.Leaving() })
}

func (b *Balancer) longestWindow() time.Duration {
	longest := shortestWindow
	for _, s := range b.table.Services() {
		longest = max(longest, s.ClaimWindow())
	}
	return longest
}

// checkpoint writes checkpoints often enough for the log's retention. One that a paused writer appends late is passed
// over by its readers.
func (b *Balancer) checkpoint(ctx context.Context) error {
	interval := b.Settings.LogRetention() / checkpointsPerRetention
	ticker := time.NewTicker(interval / checkpointLooks)
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
	// A failed checkpoint comes again with the next turn.
	_ = b.membership.WriteCheckpoint(ctx)
}

// leave hands the own keys over and leaves the roster.
func (b *Balancer) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	if err := b.homes.Close(ctx); err != nil {
		b.Logger.WithError(err).Warn("journal was not closed")
	}
	if err := b.membership.Leave(ctx); err != nil {
		b.Logger.WithError(err).Warn("roster was not left in order")
		return
	}
	b.Logger.WithFields(log.Fields{"incarnation": b.membership.Incarnation()}).Info("left the roster")
}

// settle takes over an answer whose key has its home here. Without room for it the answer is lost, and the key stays held.
func (b *Balancer) settle(request *cvwire.SettleRequest) *cvwire.SettleReply {
	if !b.homes.Reassign(request.GetGrant()) {
		return &cvwire.SettleReply{}
	}
	b.claims.Adopt(time.Now(), request)
	return &cvwire.SettleReply{Accepted: true}
}

// handOver gives the finished answers to their keys' homes, for resends that come after this process is gone.
func (b *Balancer) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTime)
	defer cancel()
	sent := b.claims.HandOver(ctx, b.homes.SendAnswer)
	b.Logger.WithField("answers", sent).Info("answers handed over")
}

// isolated says whether this balancer has neither the log nor any other balancer, so that it cannot know what is in force.
func (b *Balancer) isolated(now time.Time) bool {
	alone := len(b.membership.View().Members()) < 2
	return !alone && len(b.peers.Linked()) == 0 && b.follower.FailingFor(now) > isolationTime
}
