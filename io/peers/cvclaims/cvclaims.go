// Package cvclaims implements the claims of one process: it requests grants from homes and stores the answers.
package cvclaims

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"comfreyvale"
	"comfreyvale/core/cvholder"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/operators/cvmetrics"
)

const (
	// releaseTimeout limits a release that is sent to a home in the background.
	releaseTimeout = 2 * time.Second
	// maxClaimAttempts is how often a claim is sent to the home if the named holder has released the key each time.
	maxClaimAttempts = 3
	// waitShare is the part of the remaining time that a repeated request waits for the answer to the first one.
	waitShare = 0.8
)

// homes sends requests to keys' homes and holders.
type homes interface {
	Claim(ctx context.Context, request *cvwire.ClaimRequest) *cvwire.ClaimReply
	// Release tells the key's home that the request of a grant was not sent to an upstream and never will be.
	Release(ctx context.Context, request *cvwire.ReleaseRequest)
	// RequestAnswer requests the outcome of a grant from the key's holder.
	RequestAnswer(ctx context.Context, holder string, request *cvwire.AnswerRequest) *cvwire.AnswerReply
	// String returns the name of the implementation.
	String() string
}

// Claims implements comfreyvale.Claims for one process. It is safe for concurrent use.
type Claims struct {
	// Process is the name of this process, the same for all its incarnations.
	Process string
	// Homes sends requests to homes and holders.
	Homes homes
	// AnswerBudget is the maximum total size of the answers stored for repeated requests, in bytes.
	AnswerBudget int64
	// Metrics counts claims by result.
	Metrics *cvmetrics.Metrics

	mu         sync.Mutex
	holder     cvholder.Holder
	changed    chan struct{}
	grantCount uint64
}

// Claim claims the right to send the request with a key once. While another request with the key is in progress in any
// process, it waits for the result until the context ends.
func (c *Claims) Claim(ctx context.Context, key comfreyvale.Key) comfreyvale.ClaimResult {
	result := c.claim(ctx, key)
	c.Metrics.KeyClaimed(stateName(result.State()))
	return result
}

func stateName(state comfreyvale.ClaimState) string {
	return [...]string{"unavailable", "refused", "granted", "answered", "inProgress", "reused", "unknown"}[state]
}

func (c *Claims) claim(ctx context.Context, key comfreyvale.Key) comfreyvale.ClaimResult {
	grant, result := c.begin(ctx, key)
	if grant == "" {
		return result
	}
	for range maxClaimAttempts {
		reply := c.Homes.Claim(ctx, c.newRequest(key, grant))
		if reply.GetVerdict() != cvwire.ClaimReply_HELD {
			return c.finishClaim(ctx, grant, reply)
		}
		answer := c.askHolder(ctx, key.Text(), reply)
		if answer.GetState() != cvwire.AnswerReply_RELEASED {
			c.releaseLocally(grant)
			return resultOfHeld(reply.GetHolder(), answer)
		}
		c.Homes.Release(ctx, &cvwire.ReleaseRequest{Key: key.Text(), Grant: reply.GetGrant()})
	}
	c.releaseEverywhere(key.Text(), grant)
	return comfreyvale.NewClaimResult(comfreyvale.ClaimInProgress, "other calls with this key come and go")
}

// begin starts a claim and returns its grant, or an empty grant and the result if this process already stores the key.
// While a request with the key is in progress here, it waits.
func (c *Claims) begin(ctx context.Context, key comfreyvale.Key) (string, comfreyvale.ClaimResult) {
	for {
		now := time.Now()
		c.mu.Lock()
		c.init()
		state, _, answer := c.holder.State(key.Text())
		if state == cvholder.Absent {
			grant := c.newGrant()
			c.holder.Begin(now, key, grant)
			c.mu.Unlock()
			return grant, comfreyvale.ClaimResult{}
		}
		same := c.holder.SameDigest(key)
		changed := c.changed
		c.mu.Unlock()
		if !same {
			return "", comfreyvale.NewClaimResult(comfreyvale.ClaimReused, "the key belongs to another request")
		}
		if state == cvholder.Answered {
			return "", comfreyvale.NewClaimResult(comfreyvale.ClaimAnswered, "").WithAnswer(answer)
		}
		if state == cvholder.Lost {
			return "", comfreyvale.NewClaimResult(comfreyvale.ClaimUnknown, "the call with this key was sent and has no answer")
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return "", comfreyvale.NewClaimResult(comfreyvale.ClaimInProgress, "another call with this key is in progress here")
		}
	}
}

func (c *Claims) init() {
	c.holder.AnswerBudget = c.AnswerBudget
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
}

func (c *Claims) newGrant() string {
	c.grantCount++
	return fmt.Sprintf("%s/%d", c.Process, c.grantCount)
}

func (c *Claims) newRequest(key comfreyvale.Key, grant string) *cvwire.ClaimRequest {
	return &cvwire.ClaimRequest{
		Key: key.Text(), Grant: grant, Holder: c.Process, Digest: key.Digest(), WindowMs: key.Window().Milliseconds(),
	}
}

// finishClaim ends a claim with the home's verdict, which is not HELD.
func (c *Claims) finishClaim(ctx context.Context, grant string, reply *cvwire.ClaimReply) comfreyvale.ClaimResult {
	if reply.GetVerdict() == cvwire.ClaimReply_GRANTED && ctx.Err() == nil && c.markRunning(grant) {
		return comfreyvale.NewClaimResult(comfreyvale.ClaimGranted, "").WithGrant(grant)
	}
	key := c.releaseLocally(grant)
	switch reply.GetVerdict() {
	case cvwire.ClaimReply_GRANTED:
		c.sendRelease(key, grant)
		return comfreyvale.NewClaimResult(comfreyvale.ClaimRefused, "the grant came too late to be used")
	case cvwire.ClaimReply_REUSED:
		return comfreyvale.NewClaimResult(comfreyvale.ClaimReused, "the key belongs to another request")
	case cvwire.ClaimReply_UNKNOWN:
		return comfreyvale.NewClaimResult(comfreyvale.ClaimUnknown, reply.GetCondition())
	case cvwire.ClaimReply_REFUSED:
		c.sendRelease(key, grant)
		return comfreyvale.NewClaimResult(comfreyvale.ClaimRefused, reply.GetCondition())
	}
	c.sendRelease(key, grant)
	return comfreyvale.NewClaimResult(comfreyvale.ClaimUnavailable, reply.GetCondition())
}

// askHolder requests the outcome of a grant from the key's holder. It waits for at most waitShare of the remaining
// time, so that time is left to answer the caller.
func (c *Claims) askHolder(ctx context.Context, key string, reply *cvwire.ClaimReply) *cvwire.AnswerReply {
	request := &cvwire.AnswerRequest{Key: key, Grant: reply.GetGrant()}
	if deadline, ok := ctx.Deadline(); ok {
		request.WaitMs = int64(waitShare * float64(time.Until(deadline).Milliseconds()))
	}
	if reply.GetHolder() == c.Process {
		return c.AwaitAnswer(ctx, request)
	}
	return c.Homes.RequestAnswer(ctx, reply.GetHolder(), request)
}

// resultOfHeld returns the result of a claim whose key another grant holds.
func resultOfHeld(holder string, answer *cvwire.AnswerReply) comfreyvale.ClaimResult {
	switch answer.GetState() {
	case cvwire.AnswerReply_ANSWERED:
		return comfreyvale.NewClaimResult(comfreyvale.ClaimAnswered, "").WithAnswer(answerOf(answer))
	case cvwire.AnswerReply_IN_PROGRESS:
		return comfreyvale.NewClaimResult(comfreyvale.ClaimInProgress, "balancer "+holder+" is running the call with this key")
	}
	return comfreyvale.NewClaimResult(comfreyvale.ClaimUnknown, "balancer "+holder+" held this key and has no answer for it")
}

func answerOf(message *cvwire.AnswerReply) comfreyvale.Answer {
	header := make(http.Header)
	for _, h := range message.GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
	return comfreyvale.NewAnswer(int(message.GetStatus()), header, message.GetBody())
}

func (c *Claims) markRunning(grant string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.MarkRunning(grant)
}

// releaseLocally releases a grant in this process only, and returns its key.
func (c *Claims) releaseLocally(grant string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	key, _ := c.holder.KeyOf(grant)
	c.holder.Release(grant)
	c.notify()
	return key.Text()
}

// releaseEverywhere releases a grant in this process and at the key's home.
func (c *Claims) releaseEverywhere(key, grant string) {
	c.releaseLocally(grant)
	c.sendRelease(key, grant)
}

// sendRelease sends a release to the key's home in the background. If the message is lost, the next claim of the key
// has to ask this process.
func (c *Claims) sendRelease(key, grant string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		c.Homes.Release(ctx, &cvwire.ReleaseRequest{Key: key, Grant: grant})
	}()
}

// notify wakes all goroutines that wait for a state change. The caller holds the lock.
func (c *Claims) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Finish stores the complete answer to a granted request for repeated requests.
func (c *Claims) Finish(grant string, answer comfreyvale.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.Finish(grant, answer)
	c.notify()
}

// MarkLost ends a grant whose request may have run, but has no complete answer.
func (c *Claims) MarkLost(grant string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.MarkLost(grant)
	c.notify()
}

// Release gives up a grant whose request was not sent and never will be.
func (c *Claims) Release(grant string) {
	c.releaseEverywhere(c.keyOf(grant), grant)
}

func (c *Claims) keyOf(grant string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	key, _ := c.holder.KeyOf(grant)
	return key.Text()
}

// AwaitAnswer returns the outcome of a grant of this process to another process. While the request is in progress, it
// waits for at most the time in the message.
func (c *Claims) AwaitAnswer(ctx context.Context, request *cvwire.AnswerRequest) *cvwire.AnswerReply {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.GetWaitMs())*time.Millisecond)
	defer cancel()
	for {
		c.mu.Lock()
		c.init()
		state, answer := c.holder.GrantState(request.GetGrant())
		changed := c.changed
		c.mu.Unlock()
		if state != cvholder.Running && state != cvholder.Claiming {
			return replyOf(state, answer)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &cvwire.AnswerReply{State: cvwire.AnswerReply_IN_PROGRESS}
		}
	}
}

// replyOf returns the reply for a grant that is neither Claiming nor Running.
func replyOf(state string, answer comfreyvale.Answer) *cvwire.AnswerReply {
	switch state {
	case cvholder.Answered:
		return answerReply(answer)
	case cvholder.Released:
		return &cvwire.AnswerReply{State: cvwire.AnswerReply_RELEASED}
	}
	return &cvwire.AnswerReply{State: cvwire.AnswerReply_UNKNOWN}
}

func answerReply(answer comfreyvale.Answer) *cvwire.AnswerReply {
	reply := &cvwire.AnswerReply{State: cvwire.AnswerReply_ANSWERED, Status: int32(answer.Status()), Body: answer.Body()}
	for name, values := range answer.Header() {
		for _, v := range values {
			reply.Headers = append(reply.Headers, &cvwire.Header{Name: name, Value: v})
		}
	}
	return reply
}

// HandOver passes all stored answers to send at shutdown and returns how many were accepted. It stops early if the
// context ends.
func (c *Claims) HandOver(ctx context.Context, send func(context.Context, *cvwire.SettleRequest) bool) int {
	c.mu.Lock()
	grants := c.holder.AnsweredGrants()
	c.mu.Unlock()
	accepted := 0
	for _, grant := range grants {
		c.mu.Lock()
		key, known := c.holder.KeyOf(grant)
		_, answer := c.holder.GrantState(grant)
		c.mu.Unlock()
		if ctx.Err() != nil {
			break
		}
		if !known {
			// The grant has expired meanwhile.
			continue
		}
		request := &cvwire.SettleRequest{
			Key: key.Text(), Grant: grant, Digest: key.Digest(), WindowMs: key.Window().Milliseconds(), Answer: answerReply(answer),
		}
		if send(ctx, request) {
			accepted++
		}
	}
	return accepted
}

// Adopt stores an answer of a process that is shutting down, and reports whether this process stores it. It returns
// false if the budget has no room.
func (c *Claims) Adopt(now time.Time, request *cvwire.SettleRequest) bool {
	key := comfreyvale.NewKey(request.GetKey(), request.GetDigest(), time.Duration(request.GetWindowMs())*time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	if state, _ := c.holder.GrantState(request.GetGrant()); state == cvholder.Answered {
		return true
	}
	return c.holder.Adopt(now, key, request.GetGrant(), answerOf(request.GetAnswer()))
}

// Expire removes the keys whose windows have passed.
func (c *Claims) Expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.Expire(now)
}

// Len returns the number of stored keys.
func (c *Claims) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Len()
}

// String returns the name of the implementation.
func (c *Claims) String() string { return "claims of " + c.Process }
