// Package cvhomes routes claims of idempotency keys to the keys' homes, and implements the home in this balancer.
package cvhomes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"comfreyvale"
	"comfreyvale/core/cvhome"
	"comfreyvale/core/cvview"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/balancers/cvpause"
	"comfreyvale/io/operators/cvmetrics"
	"comfreyvale/io/peers/cvpeers"
)

const (
	retryDelay = 10 * time.Millisecond
	// answerMargin is the part of a request's timeout that is reserved for the response to the caller.
	answerMargin = 50 * time.Millisecond
	// journalTimeout is how long a claim waits for the journal at its home.
	journalTimeout = time.Second
	// batchLimit is the maximum number of claims in a journal record.
	batchLimit = 2000
	// issuedPrefix marks the keys that a process generates. Only that process grants them.
	issuedPrefix = "cv1:"
)

// Homes routes claims to the keys' homes, and decides the claims whose home is this balancer. It is safe for concurrent
// use.
type Homes struct {
	// Process is the name of this process.
	Process string
	// Log stores the journals.
	Log comfreyvale.Log
	// Peers sends requests to the other balancers.
	Peers *cvpeers.Peers
	// JournalInterval is the minimum time between two journal appends.
	JournalInterval time.Duration
	// LongestWindow returns the longest claim window of all services in the current configuration.
	LongestWindow func() time.Duration
	// OnJournalSealed is called when another process has sealed the journal of an incarnation of this process.
	OnJournalSealed func(ctx context.Context, incarnation string)
	// Metrics records state changes.
	Metrics *cvmetrics.Metrics
	// Logger logs state changes.
	Logger log.Interface

	mu sync.Mutex
	// ctx is canceled when Run returns. Takeovers and journals that SetView starts before Run use it too.
	ctx         context.Context
	cancel      context.CancelFunc
	view        *cvview.View
	incarnation string
	// homes holds the homes at the start of the latest takeover.
	homes []string
	home  *cvhome.Home
	// issued holds the claims of the keys that this process generated.
	issued   cvhome.Home
	waiters  map[string]chan *cvwire.ClaimReply
	imported map[string]bool
	// round is the number of the current takeover; takeovers of earlier rounds stop.
	round          int
	ready          bool
	closing        bool
	journalFailing bool
	wake           chan struct{}
	gap            gap
	lastGapNumber  int64
	peerGaps       map[string]peerGap
	// homeCounts maps each incarnation that was a home together with this one to the largest number of homes in any such
	// view. peerHomeCounts maps incarnations to the same counts of other members, which their handovers contain.
	homeCounts     map[string]int
	peerHomeCounts map[string][]int
}

// Run opens, renews and closes gaps until the context ends. It then also ends the goroutines that SetView started.
func (h *Homes) Run(ctx context.Context) error {
	h.mu.Lock()
	h.init()
	h.mu.Unlock()
	defer h.cancel()
	ticker := time.NewTicker(gapCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			h.updateGap(ctx, now)
		case <-ctx.Done():
			return nil
		}
	}
}

func (h *Homes) init() {
	if h.waiters != nil {
		return
	}
	h.waiters = make(map[string]chan *cvwire.ClaimReply)
	h.imported = make(map[string]bool)
	h.peerGaps = make(map[string]peerGap)
	h.homeCounts = make(map[string]int)
	h.peerHomeCounts = make(map[string][]int)
	h.view = cvview.New(0, nil, nil)
	h.home = &cvhome.Home{}
	h.wake = make(chan struct{}, 1)
	h.ctx, h.cancel = context.WithCancel(context.Background())
}

// Claim requests a grant from the key's home. It retries while the home changes or is unavailable, until answerMargin
// before the context's deadline.
func (h *Homes) Claim(ctx context.Context, request *cvwire.ClaimRequest) *cvwire.ClaimReply {
	if deadline, ok := ctx.Deadline(); ok {
		limited, cancel := context.WithDeadline(ctx, deadline.Add(-answerMargin))
		defer cancel()
		ctx = limited
	}
	for {
		reply := h.claimOnce(ctx, request)
		if reply.GetVerdict() != cvwire.ClaimReply_WRONG_HOME && reply.GetVerdict() != cvwire.ClaimReply_UNAVAILABLE {
			return reply
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_UNAVAILABLE, Condition: reply.GetCondition()}
		}
	}
}

func (h *Homes) claimOnce(ctx context.Context, request *cvwire.ClaimRequest) *cvwire.ClaimReply {
	process, condition := h.homeProcess(request.GetKey())
	if process == "" {
		return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_UNAVAILABLE, Condition: condition}
	}
	if process == h.Process {
		return h.claimHere(ctx, request)
	}
	reply, err := h.Peers.Call(ctx, process, &cvwire.PeerRequest{Request: &cvwire.PeerRequest_Claim{Claim: request}})
	if err != nil {
		condition := fmt.Sprintf("the key's home %s does not answer: %v", process, err)
		return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_UNAVAILABLE, Condition: condition}
	}
	return reply.GetClaim()
}

// homeProcess returns the process that is a key's home, or "" and the reason why there is none.
func (h *Homes) homeProcess(key string) (process, condition string) {
	if issuer, ok := issuer(key); ok {
		return issuer, ""
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	member := h.view.Member(h.view.Home(key))
	if member == nil {
		return "", "the roster is not known yet; the platform's log may be down"
	}
	return member.GetProcess(), ""
}

// issuer returns the process that generated a key, or false if none did.
func issuer(key string) (string, bool) {
	_, name, _ := strings.Cut(key, "/")
	rest, ok := strings.CutPrefix(name, issuedPrefix)
	if !ok {
		return "", false
	}
	process, _, ok := strings.Cut(rest, ":")
	return process, ok
}

// NewKeys returns random keys that only this process grants, without the log.
func (h *Homes) NewKeys(count int) []string {
	keys := make([]string, 0, count)
	for range count {
		keys = append(keys, fmt.Sprintf("%s%s:%016x%016x", issuedPrefix, h.Process, rand.Uint64(), rand.Uint64()))
	}
	return keys
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

// Release tells the key's home that the request of a grant was not sent to an upstream and never will be. The message
// may be lost.
func (h *Homes) Release(ctx context.Context, request *cvwire.ReleaseRequest) {
	process, _ := h.homeProcess(request.GetKey())
	if process == h.Process {
		h.release(request)
		return
	}
	if process == "" {
		return
	}
	// If the release is lost, the next claim of the key has to ask the holder.
	_, _ = h.Peers.Call(ctx, process, &cvwire.PeerRequest{Request: &cvwire.PeerRequest_Release{Release: request}})
}

func (h *Homes) release(request *cvwire.ReleaseRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	h.issued.Release(request.GetGrant())
	h.home.Release(request.GetGrant())
	h.wakeJournal()
}

// RequestAnswer requests the outcome of a grant from the process that holds it.
func (h *Homes) RequestAnswer(ctx context.Context, holder string, request *cvwire.AnswerRequest) *cvwire.AnswerReply {
	reply, err := h.Peers.Call(ctx, holder, &cvwire.PeerRequest{Request: &cvwire.PeerRequest_Answer{Answer: request}})
	if err != nil {
		return &cvwire.AnswerReply{State: cvwire.AnswerReply_UNKNOWN}
	}
	return reply.GetAnswer()
}

// SendAnswer sends a stored answer to the key's home at shutdown and reports whether the home accepted it. It retries
// until the context ends, the home has no room or no balancer is left.
func (h *Homes) SendAnswer(ctx context.Context, request *cvwire.SettleRequest) bool {
	message := &cvwire.PeerRequest{Request: &cvwire.PeerRequest_Settle{Settle: request}}
	for ctx.Err() == nil {
		process, _ := h.homeProcess(request.GetKey())
		if process == "" {
			return false
		}
		if process != h.Process {
			reply, err := h.Peers.Call(ctx, process, message)
			if err == nil && reply.GetSettle().GetAccepted() {
				return true
			}
			if err == nil && reply.GetSettle().GetNoRoom() {
				return false
			}
		}
		cvpause.For(ctx, retryDelay)
	}
	return false
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

// Expire removes the claims and gaps whose windows have passed.
func (h *Homes) Expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	h.home.Expire(now)
	h.issued.Expire(now)
	h.expireGaps(now)
}

// Len returns the number of claims that this home stores.
func (h *Homes) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	return h.home.Len() + h.issued.Len()
}

// String returns the name of the implementation.
func (h *Homes) String() string { return "homes by rendezvous, journalled" }
