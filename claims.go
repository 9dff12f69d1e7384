package comfreyvale

import (
	"context"
	"net/http"
	"time"
)

// Claims grants each key to at most one call, among all balancers.
type Claims interface {
	// Claim asks for the right to dispatch a key and waits, while the context allows, for one that is in progress.
	Claim(ctx context.Context, key Key) ClaimResult
	// Finish keeps the whole answer of a granted call for resends.
	Finish(grant string, answer Answer)
	// MarkLost ends a granted call that may have run without a whole answer.
	MarkLost(grant string)
	// Release gives back a grant that was never dispatched and never will be.
	Release(grant string)
	// String names the implementation.
	String() string
}

// Key is the idempotency key of a call, with what a resend must have in common with it.
type Key struct {
	text   string
	digest []byte
	window time.Duration
}

// NewKey returns a key with the digest of its request and how long it is remembered.
func NewKey(text string, digest []byte, window time.Duration) Key {
	return Key{text: text, digest: digest, window: window}
}

// Text is the key itself, made unique by its service's name.
func (k Key) Text() string { return k.text }

// Digest is the digest of the request.
func (k Key) Digest() []byte { return k.digest }

// Window is how long the key is remembered.
func (k Key) Window() time.Duration { return k.window }

// ClaimState is what became of a claim.
type ClaimState int

// The states of a claim.
const (
	// ClaimUnavailable is a key of which nothing is known; it was not granted, but may have run earlier.
	ClaimUnavailable ClaimState = iota
	// ClaimRefused is a key that is known never to have run; it was not granted.
	ClaimRefused
	// ClaimGranted gives the right to dispatch the key once.
	ClaimGranted
	// ClaimAnswered is a key whose answer is at hand.
	ClaimAnswered
	// ClaimInProgress is a key that another call is running.
	ClaimInProgress
	// ClaimReused is a key that belongs to another request.
	ClaimReused
	// ClaimUnknown is a key that may have run.
	ClaimUnknown
)

// ClaimResult is the result of a claim.
type ClaimResult struct {
	state     ClaimState
	grant     string
	answer    Answer
	condition string
}

// NewClaimResult returns a result with the condition that led to it.
func NewClaimResult(state ClaimState, condition string) ClaimResult {
	return ClaimResult{state: state, condition: condition}
}

// WithGrant returns the result with the grant to finish, lose or release.
func (c ClaimResult) WithGrant(grant string) ClaimResult {
	c.grant = grant
	return c
}

// WithAnswer returns the result with the answer of the call that ran.
func (c ClaimResult) WithAnswer(answer Answer) ClaimResult {
	c.answer = answer
	return c
}

// State says what became of the claim.
func (c ClaimResult) State() ClaimState { return c.state }

// Grant names the grant when the state is ClaimGranted.
func (c ClaimResult) Grant() string { return c.grant }

// Answer is the answer when the state is ClaimAnswered.
func (c ClaimResult) Answer() Answer { return c.answer }

// Condition says why, in words for an operator.
func (c ClaimResult) Condition() string { return c.condition }

// Answer is a whole answer of an upstream.
type Answer struct {
	status int
	header http.Header
	body   []byte
}

// NewAnswer returns an answer with its end-to-end headers.
func NewAnswer(status int, header http.Header, body []byte) Answer {
	return Answer{status: status, header: header, body: body}
}

// Status is the HTTP status.
func (a Answer) Status() int { return a.status }

// Header holds the end-to-end headers.
func (a Answer) Header() http.Header { return a.header }

// Body is the whole body.
func (a Answer) Body() []byte { return a.body }
