// Package cvhomes is the home of keys among all balancers: it finds each key's home, and is the home of some.
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
	// retryTime is the pause before a claim goes to its home again.
	retryTime = 10 * time.Millisecond
	// answerMargin is left of a call's time for answering its caller.
	answerMargin = 50 * time.Millisecond
	// waitTime is how long a home lets a claim wait for the journal.
	waitTime = time.Second
	// batchLimit is how many claims one journal record holds at most.
	batchLimit = 2000
	// issuedPrefix begins keys that one process alone grants.
	issuedPrefix = "cv1:"
)

// Homes routes claims to their homes, and decides about those whose home is here.
type Homes struct {
	// Process names this process.
	Process string
	// Log keeps the journals.
	Log comfreyvale.Log
	// Peers reaches the other balancers.
	Peers *cvpeers.Peers
	// JournalInterval is the shortest time between two journal appends.
	JournalInterval time.Duration
	// LongestWindow is the longest claim window of the services in force.
	LongestWindow func() time.Duration
	// Resign is told when another process has closed the journal of an incarnation of this one.
	Resign func(ctx context.Context, incarnation string)
	// Metrics counts.
	Metrics *cvmetrics.Metrics
	// Logger takes lines for changes of state.
	Logger log.Interface

	mu sync.Mutex
	// ctx ends with Run; what a view starts before Run ends with it too.
	ctx         context.Context
	cancel      context.CancelFunc
	view        *cvview.View
	incarnation string
	homes       []string
	home        *cvhome.Home
	issued      cvhome.Home
	waiters     map[string]chan *cvwire.ClaimReply
	imported    map[string]bool
	round       int
	ready       bool
	closing     bool
	failing     bool
	wake        chan struct{}
	gap         gap
	gapNumber   int64
	gaps        map[string]otherGap
	vouched     map[string]int
	vouches     map[string][]int
}

// Run does the work of a home until the context ends.
func (h *Homes) Run(ctx context.Context) error {
	h.mu.Lock()
	h.init()
	h.mu.Unlock()
	defer h.cancel()
	ticker := time.NewTicker(gapTime)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			h.keepGap(ctx, now)
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
	h.gaps = make(map[string]otherGap)
	h.vouched = make(map[string]int)
	h.vouches = make(map[string][]int)
	h.view = cvview.New(0, nil, nil)
	h.home = &cvhome.Home{}
	h.wake = make(chan struct{}, 1)
	h.ctx, h.cancel = context.WithCancel(context.Background())
}

// Claim asks a key's home for a grant, and asks again while the home changes and the context allows.
func (h *Homes) Claim(ctx context.Context, request *cvwire.ClaimRequest) *cvwire.ClaimReply {
	if deadline, ok := ctx.Deadline(); ok {
		limited, cancel := context.WithDeadline(ctx, deadline.Add(-answerMargin))
		defer cancel()
		ctx = limited
	}
	for {
		reply := h.ask(ctx, request)
		if reply.GetVerdict() != cvwire.ClaimReply_WRONG_HOME && reply.GetVerdict() != cvwire.ClaimReply_UNAVAILABLE {
			return reply
		}
		select {
		case <-time.After(retryTime):
		case <-ctx.Done():
			return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_UNAVAILABLE, Condition: reply.GetCondition()}
		}
	}
}

// ask sends a claim to its home once.
func (h *Homes) ask(ctx context.Context, request *cvwire.ClaimRequest) *cvwire.ClaimReply {
	process, condition := h.find(request.GetKey())
	if process == "" {
		return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_UNAVAILABLE, Condition: condition}
	}
	if process == h.Process {
		return h.decide(ctx, request)
	}
	reply, err := h.Peers.Call(ctx, process, &cvwire.PeerRequest{Request: &cvwire.PeerRequest_Claim{Claim: request}})
	if err != nil {
		condition := fmt.Sprintf("the key's home %s does not answer: %v", process, err)
		return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_UNAVAILABLE, Condition: condition}
	}
	return reply.GetClaim()
}

// find returns the process that decides about a key, or why there is none.
func (h *Homes) find(key string) (process, condition string) {
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

// issuer returns the process that issued a key, if any did.
func issuer(key string) (string, bool) {
	_, own, _ := strings.Cut(key, "/")
	rest, ok := strings.CutPrefix(own, issuedPrefix)
	if !ok {
		return "", false
	}
	process, _, ok := strings.Cut(rest, ":")
	return process, ok
}

// NewKeys returns keys that this process alone grants, without the log.
func (h *Homes) NewKeys(count int) []string {
	keys := make([]string, 0, count)
	for range count {
		keys = append(keys, fmt.Sprintf("%s%s:%016x%016x", issuedPrefix, h.Process, rand.Uint64(), rand.Uint64()))
	}
	return keys
}

// decide answers a claim whose home is here, and waits for the journal.
func (h *Homes) decide(ctx context.Context, request *cvwire.ClaimRequest) *cvwire.ClaimReply {
	reply, waiter := h.enter(time.Now(), request)
	if reply != nil {
		return reply
	}
	timer := time.NewTimer(waitTime)
	defer timer.Stop()
	select {
	case reply := <-waiter:
		return reply
	case <-timer.C:
	case <-ctx.Done():
	}
	return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_UNAVAILABLE, Condition: "the platform's log is slow to take the claim"}
}

// enter decides at once, or returns where the decision will come.
func (h *Homes) enter(now time.Time, request *cvwire.ClaimRequest) (*cvwire.ClaimReply, <-chan *cvwire.ClaimReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	if _, ok := issuer(request.GetKey()); ok {
		return h.issued.Claim(now, request, true), nil
	}
	if reply := h.elsewhere(request.GetKey()); reply != nil {
		return reply, nil
	}
	usable := h.gapUsable(now)
	if h.failing && !usable && h.home.Unclaimed(now, request.GetKey()) {
		return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_REFUSED, Condition: "the platform's log does not take claims; the key never ran"}, nil
	}
	if reply := h.home.Claim(now, request, false); reply != nil {
		return reply, nil
	}
	if usable && h.home.GrantUnjournalled(request.GetGrant()) {
		h.signal()
		return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_GRANTED}, nil
	}
	waiter := make(chan *cvwire.ClaimReply, 1)
	h.waiters[request.GetGrant()] = waiter
	if h.gap.waitingSince.IsZero() {
		h.gap.waitingSince = now
	}
	h.signal()
	return nil, waiter
}

// elsewhere says why a key cannot be decided here now, or returns nil.
func (h *Homes) elsewhere(key string) *cvwire.ClaimReply {
	if h.closing || h.incarnation == "" || h.view.Home(key) != h.incarnation {
		return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_WRONG_HOME, Condition: "the key's home is changing", Epoch: h.view.Epoch()}
	}
	if !h.ready {
		return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_UNAVAILABLE, Condition: "the key's home is taking over claims from earlier homes"}
	}
	return nil
}

func (h *Homes) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Release tells a key's home that a grant was never dispatched and never will be.
func (h *Homes) Release(ctx context.Context, request *cvwire.ReleaseRequest) {
	process, _ := h.find(request.GetKey())
	if process == h.Process {
		h.release(request)
		return
	}
	if process == "" {
		return
	}
	// A lost release costs the next claimer a question to the holder.
	_, _ = h.Peers.Call(ctx, process, &cvwire.PeerRequest{Request: &cvwire.PeerRequest_Release{Release: request}})
}

func (h *Homes) release(request *cvwire.ReleaseRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	h.issued.Release(request.GetGrant())
	h.home.Release(request.GetGrant())
	h.signal()
}

// Answer asks a key's holder for the outcome.
func (h *Homes) Answer(ctx context.Context, holder string, request *cvwire.AnswerRequest) *cvwire.AnswerReply {
	reply, err := h.Peers.Call(ctx, holder, &cvwire.PeerRequest{Request: &cvwire.PeerRequest_Answer{Answer: request}})
	if err != nil {
		return &cvwire.AnswerReply{State: cvwire.AnswerReply_UNKNOWN}
	}
	return reply.GetAnswer()
}

// Settle gives a finished answer to the key's home, before this process stops, and tries until the home has
// taken it. It gives up when no balancer is left.
func (h *Homes) Settle(ctx context.Context, request *cvwire.SettleRequest) bool {
	message := &cvwire.PeerRequest{Request: &cvwire.PeerRequest_Settle{Settle: request}}
	for ctx.Err() == nil {
		process, _ := h.find(request.GetKey())
		if process == "" {
			return false
		}
		if process != h.Process {
			reply, err := h.Peers.Call(ctx, process, message)
			if err == nil && reply.GetSettle().GetAccepted() {
				return true
			}
		}
		cvpause.For(ctx, retryTime)
	}
	return false
}

// Reassign notes that this process holds a grant's answer now. It returns whether the grant is known here.
func (h *Homes) Reassign(grant string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	return h.home.Reassign(grant, h.Process)
}

// Handle answers a peer's request about claims, or returns nil for other requests.
func (h *Homes) Handle(ctx context.Context, request *cvwire.PeerRequest) *cvwire.PeerReply {
	switch r := request.GetRequest().(type) {
	case *cvwire.PeerRequest_Claim:
		return &cvwire.PeerReply{Reply: &cvwire.PeerReply_Claim{Claim: h.decide(ctx, r.Claim)}}
	case *cvwire.PeerRequest_Release:
		h.release(r.Release)
		return &cvwire.PeerReply{}
	case *cvwire.PeerRequest_Gap:
		return &cvwire.PeerReply{Reply: &cvwire.PeerReply_Gap{Gap: h.remember(time.Now(), r.Gap)}}
	case *cvwire.PeerRequest_Handover:
		return &cvwire.PeerReply{Reply: &cvwire.PeerReply_Handover{Handover: h.handover(r.Handover)}}
	}
	return nil
}

// handover gives up all keys whose home is now the asking incarnation, with what is known of them.
// The reply's epoch is this process's own; the asker needs one of the same epoch.
func (h *Homes) handover(request *cvwire.HandoverRequest) *cvwire.HandoverReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	reply := &cvwire.HandoverReply{Epoch: h.view.Epoch()}
	if reply.Epoch == request.GetEpoch() {
		now := time.Now()
		reply.Claims = h.home.Handover(now, func(key string) bool { return h.view.Home(key) == request.GetIncarnation() })
		reply.Gaps = h.openGaps(now)
		for incarnation, homes := range h.vouched {
			reply.Vouched = append(reply.Vouched, &cvwire.Vouch{Incarnation: incarnation, Homes: int32(homes)})
		}
	}
	return reply
}

// Expire forgets claims whose windows have passed.
func (h *Homes) Expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	h.home.Expire(now)
	h.issued.Expire(now)
	h.expireGaps(now)
}

// Len is the number of claims remembered here as a home.
func (h *Homes) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	return h.home.Len() + h.issued.Len()
}

// String names the implementation.
func (h *Homes) String() string { return "homes by rendezvous, journalled" }
