package cvhomes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"comfreyvale/core/cvwire"
	"comfreyvale/io/balancers/cvpause"
)

const (
	// answerMargin is the part of a request's timeout that is reserved for the response to the caller.
	answerMargin = 50 * time.Millisecond
	// issuedPrefix marks the keys that a process generates. Only that process grants them.
	issuedPrefix = "cv1:"
)

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
	for ; ctx.Err() == nil; cvpause.For(ctx, retryDelay) {
		process, _ := h.homeProcess(request.GetKey())
		if process == "" {
			return false
		}
		if process == h.Process {
			// The roster does not show yet that this process is leaving.
			continue
		}
		// A call that failed has the same effect as a home that does not know the grant yet: both may change.
		reply, _ := h.Peers.Call(ctx, process, &cvwire.PeerRequest{Request: &cvwire.PeerRequest_Settle{Settle: request}})
		if reply.GetSettle().GetAccepted() {
			return true
		}
		if reply.GetSettle().GetNoRoom() {
			return false
		}
	}
	return false
}
