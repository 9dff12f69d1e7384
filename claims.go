package comfreyvale

import (
	"bytes"
	"context"
	"net/http"
	"time"
)

// Claims grants each idempotency key to at most one request, across all balancers, until the key's window has passed.
// Implementations are safe for concurrent use.
type Claims interface {
	// Claim claims the right to send the request with a key once. If another request with the key is in progress, Claim
	// waits for its result, at most until the context ends.
	Claim(ctx context.Context, key Key) ClaimResult
	// Finish stores the complete answer to a granted request, for later requests with the same key.
	Finish(grant string, answer Answer)
	// MarkLost ends a grant whose request may have run, but has no complete answer.
	MarkLost(grant string)
	// Release gives up a grant whose request was not sent and never will be. The key can then be granted again.
	Release(grant string)
	// String returns the name of the implementation.
	String() string
}

// Key is the idempotency key of a request, with the digest that all requests with the key must have in common.
type Key struct {
	text   string
	digest []byte
	window time.Duration
}

// NewKey returns a key with the digest of its request and the time for which it stays claimed.
func NewKey(text string, digest []byte, window time.Duration) Key {
	return Key{text: text, digest: digest, window: window}
}

// Text returns the key, prefixed with the name of its service to make it unique across services.
func (k Key) Text() string { return k.text }

// Digest returns the digest of the request.
func (k Key) Digest() []byte { return k.digest }

// Window returns how long the key stays claimed.
func (k Key) Window() time.Duration { return k.window }

// ClaimState is the outcome of a claim.
type ClaimState int

// The outcomes of a claim.
const (
	// ClaimUnavailable means that the key was not granted and that an earlier request with it may have run.
	ClaimUnavailable ClaimState = iota
	// ClaimRefused means that the key was not granted, and that no request with the key has run.
	ClaimRefused
	// ClaimGranted gives the right to send the request once.
	ClaimGranted
	// ClaimAnswered means that a request with the key has run and its answer is available.
	ClaimAnswered
	// ClaimInProgress means that another request with the key is in progress.
	ClaimInProgress
	// ClaimReused means that the key belongs to a request with another digest.
	ClaimReused
	// ClaimUnknown means that a request with the key may have run, and no answer is available.
	ClaimUnknown
)

// ClaimResult is the result of a claim. It is immutable.
type ClaimResult struct {
	state     ClaimState
	grant     string
	answer    Answer
	condition string
}

// NewClaimResult returns a result with the condition that caused it.
func NewClaimResult(state ClaimState, condition string) ClaimResult {
	return ClaimResult{state: state, condition: condition}
}

// WithGrant returns a copy of c with the grant, which the caller must finish, mark as lost, or release.
func (c ClaimResult) WithGrant(grant string) ClaimResult {
	c.grant = grant
	return c
}

// WithAnswer returns a copy of c with the answer to the request that ran.
func (c ClaimResult) WithAnswer(answer Answer) ClaimResult {
	c.answer = answer
	return c
}

// State returns the outcome of the claim.
func (c ClaimResult) State() ClaimState { return c.state }

// Grant returns the grant's ID if the state is ClaimGranted.
func (c ClaimResult) Grant() string { return c.grant }

// Answer returns the answer if the state is ClaimAnswered.
func (c ClaimResult) Answer() Answer { return c.answer }

// Condition returns the cause of the result, for operators.
func (c ClaimResult) Condition() string { return c.condition }

// Answer is a complete response of an upstream.
type Answer struct {
	status int
	header http.Header
	parts  [][]byte
}

// NewAnswer returns an answer with its end-to-end headers and the parts of its body.
func NewAnswer(status int, header http.Header, body ...[]byte) Answer {
	return Answer{status: status, header: header, parts: body}
}

// Status returns the HTTP status code.
func (a Answer) Status() int { return a.status }

// Header returns the end-to-end headers.
func (a Answer) Header() http.Header { return a.header }

// Body returns the complete body, copied if it has several parts.
func (a Answer) Body() []byte {
	if len(a.parts) == 1 {
		return a.parts[0]
	}
	return bytes.Join(a.parts, nil)
}

// Parts returns the parts of the body, which must not be modified.
func (a Answer) Parts() [][]byte { return a.parts }

// Size returns the length of the body in bytes.
func (a Answer) Size() int {
	size := 0
	for _, p := range a.parts {
		size += len(p)
	}
	return size
}
