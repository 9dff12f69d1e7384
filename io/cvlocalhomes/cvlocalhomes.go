// Package cvlocalhomes is the home of all keys of a balancer that runs alone.
package cvlocalhomes

import (
	"context"
	"sync"
	"time"

	"comfreyvale/core/cvhome"
	"comfreyvale/core/cvwire"
)

// Homes grants keys from this process's memory.
type Homes struct {
	mu   sync.Mutex
	home cvhome.Home
}

// Claim grants a key that this process has not granted within its window.
func (h *Homes) Claim(_ context.Context, request *cvwire.ClaimRequest) *cvwire.ClaimReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.home.Claim(time.Now(), request, true)
}

// Release makes a key that was never dispatched free again.
func (h *Homes) Release(_ context.Context, request *cvwire.ReleaseRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.home.Release(request.GetGrant())
}

// Answer has nobody to ask.
func (h *Homes) Answer(context.Context, string, *cvwire.AnswerRequest) *cvwire.AnswerReply {
	return &cvwire.AnswerReply{State: cvwire.AnswerReply_UNKNOWN}
}

// String names the implementation.
func (h *Homes) String() string { return "alone" }
