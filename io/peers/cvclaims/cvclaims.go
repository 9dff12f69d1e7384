// Package cvclaims is the balancer's side of claims: it asks homes for grants and keeps what became of its own.
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
	// releaseTime is how long a home is tried with the news of a grant that was given up.
	releaseTime = 2 * time.Second
	// releasedTries is how often a claim goes back to its home because the holder had released the key.
	releasedTries = 3
	// answerShare is the part of the remaining time that a resend waits for the first call's answer.
	answerShare = 0.8
)

// homes reaches the process that decides about a key, and the process that holds it.
type homes interface {
	// Claim asks a key's home for a grant.
	Claim(ctx context.Context, request *cvwire.ClaimRequest) *cvwire.ClaimReply
	// Release tells a key's home that a grant was never dispatched and never will be.
	Release(ctx context.Context, request *cvwire.ReleaseRequest)
	// Answer asks a key's holder for the outcome.
	Answer(ctx context.Context, holder string, request *cvwire.AnswerRequest) *cvwire.AnswerReply
	// String names the implementation.
	String() string
}

// Claims keeps the claims of one process.
type Claims struct {
	// Process names this process, the same through all its incarnations.
	Process string
	// Homes reaches homes and holders.
	Homes homes
	// AnswerBudget is how many bytes of answers are kept for resends.
	AnswerBudget int64
	// Metrics counts.
	Metrics *cvmetrics.Metrics

	mu      sync.Mutex
	holder  cvholder.Holder
	changed chan struct{}
	grants  uint64
}

// Claim asks for the right to dispatch a key, and waits for the outcome of one that is in progress here or elsewhere.
func (c *Claims) Claim(ctx context.Context, key comfreyvale.Key) comfreyvale.ClaimResult {
	claimed := c.claim(ctx, key)
	c.Metrics.Claimed(stateName(claimed.State()))
	return claimed
}

func stateName(state comfreyvale.ClaimState) string {
	return [...]string{"unavailable", "refused", "granted", "answered", "inProgress", "reused", "unknown"}[state]
}

func (c *Claims) claim(ctx context.Context, key comfreyvale.Key) comfreyvale.ClaimResult {
	grant, local := c.begin(ctx, key)
	if grant == "" {
		return local
	}
	for range releasedTries {
		reply := c.Homes.Claim(ctx, c.request(key, grant))
		if reply.GetVerdict() != cvwire.ClaimReply_HELD {
			return c.decided(ctx, grant, reply)
		}
		answer := c.ask(ctx, key.Text(), reply)
		if answer.GetState() != cvwire.AnswerReply_RELEASED {
			c.giveUp(grant)
			return held(reply.GetHolder(), answer)
		}
		c.Homes.Release(ctx, &cvwire.ReleaseRequest{Key: key.Text(), Grant: reply.GetGrant()})
	}
	c.abandon(key.Text(), grant)
	return comfreyvale.NewClaimResult(comfreyvale.ClaimInProgress, "other calls with this key come and go")
}

// begin starts a claim, or returns an empty grant and the outcome when this process knows the key already.
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
	c.grants++
	return fmt.Sprintf("%s/%d", c.Process, c.grants)
}

func (c *Claims) request(key comfreyvale.Key, grant string) *cvwire.ClaimRequest {
	return &cvwire.ClaimRequest{
		Key: key.Text(), Grant: grant, Holder: c.Process, Digest: key.Digest(), WindowMs: key.Window().Milliseconds(),
	}
}

// decided takes in a home's verdict other than that another process holds the key.
func (c *Claims) decided(ctx context.Context, grant string, reply *cvwire.ClaimReply) comfreyvale.ClaimResult {
	if reply.GetVerdict() == cvwire.ClaimReply_GRANTED && ctx.Err() == nil && c.run(grant) {
		return comfreyvale.NewClaimResult(comfreyvale.ClaimGranted, "").WithGrant(grant)
	}
	key := c.giveUp(grant)
	switch reply.GetVerdict() {
	case cvwire.ClaimReply_GRANTED:
		c.tellReleased(key, grant)
		return comfreyvale.NewClaimResult(comfreyvale.ClaimRefused, "the grant came too late to be used")
	case cvwire.ClaimReply_REUSED:
		return comfreyvale.NewClaimResult(comfreyvale.ClaimReused, "the key belongs to another request")
	case cvwire.ClaimReply_UNKNOWN:
		return comfreyvale.NewClaimResult(comfreyvale.ClaimUnknown, reply.GetCondition())
	case cvwire.ClaimReply_REFUSED:
		c.tellReleased(key, grant)
		return comfreyvale.NewClaimResult(comfreyvale.ClaimRefused, reply.GetCondition())
	}
	c.tellReleased(key, grant)
	return comfreyvale.NewClaimResult(comfreyvale.ClaimUnavailable, reply.GetCondition())
}

// ask asks a key's holder for the outcome, and leaves time to answer the caller.
func (c *Claims) ask(ctx context.Context, key string, reply *cvwire.ClaimReply) *cvwire.AnswerReply {
	request := &cvwire.AnswerRequest{Key: key, Grant: reply.GetGrant()}
	if deadline, ok := ctx.Deadline(); ok {
		request.WaitMs = int64(answerShare * float64(time.Until(deadline).Milliseconds()))
	}
	if reply.GetHolder() == c.Process {
		return c.Answer(ctx, request)
	}
	return c.Homes.Answer(ctx, reply.GetHolder(), request)
}

func held(holder string, answer *cvwire.AnswerReply) comfreyvale.ClaimResult {
	switch answer.GetState() {
	case cvwire.AnswerReply_ANSWERED:
		return comfreyvale.NewClaimResult(comfreyvale.ClaimAnswered, "").WithAnswer(whole(answer))
	case cvwire.AnswerReply_IN_PROGRESS:
		return comfreyvale.NewClaimResult(comfreyvale.ClaimInProgress, "balancer "+holder+" is running the call with this key")
	}
	return comfreyvale.NewClaimResult(comfreyvale.ClaimUnknown, "balancer "+holder+" held this key and has no answer for it")
}

// whole turns a message into the answer that it carries.
func whole(message *cvwire.AnswerReply) comfreyvale.Answer {
	header := make(http.Header)
	for _, h := range message.GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
	return comfreyvale.NewAnswer(int(message.GetStatus()), header, message.GetBody())
}

func (c *Claims) run(grant string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Run(grant)
}

// giveUp ends a claim that was not granted and returns its key.
func (c *Claims) giveUp(grant string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	key, _ := c.holder.KeyOf(grant)
	c.holder.Release(grant)
	c.notify()
	return key.Text()
}

func (c *Claims) abandon(key, grant string) {
	c.giveUp(grant)
	c.tellReleased(key, grant)
}

// tellReleased tells the home in the background; a lost message costs the next claimer one question to this process.
func (c *Claims) tellReleased(key, grant string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTime)
		defer cancel()
		c.Homes.Release(ctx, &cvwire.ReleaseRequest{Key: key, Grant: grant})
	}()
}

func (c *Claims) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Finish keeps the whole answer of a granted call for resends.
func (c *Claims) Finish(grant string, answer comfreyvale.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.Finish(grant, answer)
	c.notify()
}

// MarkLost ends a granted call that may have run without a whole answer.
func (c *Claims) MarkLost(grant string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.MarkLost(grant)
	c.notify()
}

// Release gives back a grant that was never dispatched and never will be.
func (c *Claims) Release(grant string) {
	c.abandon(c.keyOf(grant), grant)
}

func (c *Claims) keyOf(grant string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	key, _ := c.holder.KeyOf(grant)
	return key.Text()
}

// Answer tells another process what became of a grant of this one, and waits while it runs.
func (c *Claims) Answer(ctx context.Context, request *cvwire.AnswerRequest) *cvwire.AnswerReply {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.GetWaitMs())*time.Millisecond)
	defer cancel()
	for {
		c.mu.Lock()
		c.init()
		state, answer := c.holder.GrantState(request.GetGrant())
		changed := c.changed
		c.mu.Unlock()
		if state != cvholder.Running && state != cvholder.Claiming {
			return outcome(state, answer)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &cvwire.AnswerReply{State: cvwire.AnswerReply_IN_PROGRESS}
		}
	}
}

func outcome(state string, answer comfreyvale.Answer) *cvwire.AnswerReply {
	switch state {
	case cvholder.Answered:
		return answered(answer)
	case cvholder.Released:
		return &cvwire.AnswerReply{State: cvwire.AnswerReply_RELEASED}
	}
	return &cvwire.AnswerReply{State: cvwire.AnswerReply_UNKNOWN}
}

func answered(answer comfreyvale.Answer) *cvwire.AnswerReply {
	reply := &cvwire.AnswerReply{State: cvwire.AnswerReply_ANSWERED, Status: int32(answer.Status()), Body: answer.Body()}
	for name, values := range answer.Header() {
		for _, v := range values {
			reply.Headers = append(reply.Headers, &cvwire.Header{Name: name, Value: v})
		}
	}
	return reply
}

// HandOver sends all finished answers away, before this process stops, and returns how many were taken.
func (c *Claims) HandOver(ctx context.Context, send func(context.Context, *cvwire.SettleRequest) bool) int {
	c.mu.Lock()
	grants := c.holder.AnsweredGrants()
	c.mu.Unlock()
	sent := 0
	for _, grant := range grants {
		c.mu.Lock()
		key, known := c.holder.KeyOf(grant)
		_, answer := c.holder.GrantState(grant)
		c.mu.Unlock()
		if ctx.Err() != nil || !known {
			break
		}
		request := &cvwire.SettleRequest{
			Key: key.Text(), Grant: grant, Digest: key.Digest(), WindowMs: key.Window().Milliseconds(), Answer: answered(answer),
		}
		if send(ctx, request) {
			sent++
		}
	}
	return sent
}

// Adopt keeps an answer of a process that stops, and returns whether there was room for it.
func (c *Claims) Adopt(now time.Time, request *cvwire.SettleRequest) bool {
	key := comfreyvale.NewKey(request.GetKey(), request.GetDigest(), time.Duration(request.GetWindowMs())*time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	return c.holder.Adopt(now, key, request.GetGrant(), whole(request.GetAnswer()))
}

// Expire forgets keys whose windows have passed.
func (c *Claims) Expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.Expire(now)
}

// Len is the number of keys remembered here.
func (c *Claims) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Len()
}

// String names the implementation.
func (c *Claims) String() string { return "claims of " + c.Process }
