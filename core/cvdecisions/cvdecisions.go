// Package cvdecisions implements a bounded history of the decisions that affected requests or removed upstreams.
package cvdecisions

import (
	"fmt"
	"sync"
	"time"

	"comfreyvale"
)

// History stores the last decisions. It is safe for concurrent use.
type History struct {
	// Limit is the maximum number of stored decisions, at least 1.
	Limit int

	mu        sync.Mutex
	decisions []comfreyvale.Decision
	next      int
}

// Record stores a decision. In a full history, the decision replaces the oldest one.
func (h *History) Record(_ time.Time, decision comfreyvale.Decision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.decisions) < h.Limit {
		h.decisions = append(h.decisions, decision)
		return
	}
	h.decisions[h.next] = decision
	h.next = (h.next + 1) % h.Limit
}

// Explain returns the decisions about a request ID, an upstream or a service, oldest first.
func (h *History) Explain(subject string) []comfreyvale.Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []comfreyvale.Decision
	for i := range h.decisions {
		d := h.decisions[(h.next+i)%len(h.decisions)]
		if subject == d.Request() || subject == d.Upstream() || subject == d.Service() {
			found = append(found, d)
		}
	}
	return found
}

// String returns a short description of the history.
func (h *History) String() string { return fmt.Sprintf("last %d decisions", h.Limit) }
