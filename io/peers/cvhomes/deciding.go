package cvhomes

import (
	"context"
	"time"

	"comfreyvale/core/cvwire"
)

// journalTimeout is how long a claim waits for the journal at its home.
const journalTimeout = time.Second

// Handle handles a peer's request about claims. It returns nil for other requests.
func (h *Homes) Handle(ctx context.Context, request *cvwire.PeerRequest) *cvwire.PeerReply {
	switch r := request.GetRequest().(type) {
	case *cvwire.PeerRequest_Claim:
		return &cvwire.PeerReply{Reply: &cvwire.PeerReply_Claim{Claim: h.claimHere(ctx, r.Claim)}}
	case *cvwire.PeerRequest_Release:
		h.release(r.Release)
		return &cvwire.PeerReply{}
	case *cvwire.PeerRequest_Gap:
		return &cvwire.PeerReply{Reply: &cvwire.PeerReply_Gap{Gap: h.acceptGap(time.Now(), r.Gap)}}
	case *cvwire.PeerRequest_Handover:
		return &cvwire.PeerReply{Reply: &cvwire.PeerReply_Handover{Handover: h.handover(r.Handover)}}
	}
	return nil
}

// claimHere decides a claim whose home is this balancer. It waits for the journal for at most journalTimeout.
func (h *Homes) claimHere(ctx context.Context, request *cvwire.ClaimRequest) *cvwire.ClaimReply {
	reply, waiter := h.startClaim(time.Now(), request)
	if reply != nil {
		return reply
	}
	timer := time.NewTimer(journalTimeout)
	defer timer.Stop()
	select {
	case reply := <-waiter:
		return reply
	case <-timer.C:
	case <-ctx.Done():
	}
	return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_UNAVAILABLE, Condition: "the platform's log is slow to take the claim"}
}

// startClaim returns the decision, or a channel that receives it once the journal holds the claim.
func (h *Homes) startClaim(now time.Time, request *cvwire.ClaimRequest) (*cvwire.ClaimReply, <-chan *cvwire.ClaimReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	if _, ok := issuer(request.GetKey()); ok {
		return h.issued.Claim(now, request, true), nil
	}
	if reply := h.rejectClaim(request.GetKey()); reply != nil {
		return reply, nil
	}
	usable := h.mayGrantUnjournalled(now)
	if h.journalFailing && !usable && h.home.Unclaimed(now, request.GetKey()) {
		return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_REFUSED, Condition: "the platform's log does not take claims; the key never ran"}, nil
	}
	if reply := h.home.Claim(now, request, false); reply != nil {
		return reply, nil
	}
	if usable && h.home.GrantUnjournalled(request.GetGrant()) {
		h.wakeJournal()
		return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_GRANTED}, nil
	}
	waiter := make(chan *cvwire.ClaimReply, 1)
	h.waiters[request.GetGrant()] = waiter
	if h.gap.waitingSince.IsZero() {
		h.gap.waitingSince = now
	}
	h.wakeJournal()
	return nil, waiter
}

// rejectClaim returns nil if this home can decide claims of a key now.
func (h *Homes) rejectClaim(key string) *cvwire.ClaimReply {
	if h.closing || h.incarnation == "" || h.view.Home(key) != h.incarnation {
		return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_WRONG_HOME, Condition: "the key's home is changing", Epoch: h.view.Epoch()}
	}
	if !h.ready {
		return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_UNAVAILABLE, Condition: "the key's home is taking over claims from earlier homes"}
	}
	return nil
}

func (h *Homes) wakeJournal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// release marks a grant as released, if this home or this process as issuer knows it.
func (h *Homes) release(request *cvwire.ReleaseRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	h.issued.Release(request.GetGrant())
	h.home.Release(request.GetGrant())
	h.wakeJournal()
}

// Holds reports whether this home knows a grant.
func (h *Homes) Holds(grant string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	return h.home.Holds(grant)
}

// Reassign makes this process the holder of a grant's answer. It returns false if this home does not know the grant.
func (h *Homes) Reassign(grant string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	return h.home.Reassign(grant, h.Process)
}

// handover returns the claims whose home is now the requesting incarnation, the stored gaps, and homeCounts. If the
// epochs differ, it returns only this process's epoch, and the requester asks again.
func (h *Homes) handover(request *cvwire.HandoverRequest) *cvwire.HandoverReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	reply := &cvwire.HandoverReply{Epoch: h.view.Epoch()}
	if reply.Epoch == request.GetEpoch() {
		now := time.Now()
		reply.Claims = h.home.Handover(now, func(key string) bool { return h.view.Home(key) == request.GetIncarnation() })
		reply.Gaps = h.currentGaps(now)
		for incarnation, homes := range h.homeCounts {
			reply.Vouched = append(reply.Vouched, &cvwire.Vouch{Incarnation: incarnation, Homes: int32(homes)})
		}
	}
	return reply
}
