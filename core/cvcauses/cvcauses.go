// Package cvcauses implements a bounded history of the decisions that affected requests.
package cvcauses

import (
	"fmt"
	"sync"
	"time"

	"comfreyvale"
)

// Causes stores the last decisions. It is safe for concurrent use.
type Causes struct {
	// Limit is the maximum number of stored decisions.
	Limit int

	mu        sync.Mutex
	decisions []comfreyvale.Decision
	next      int
}

// Record stores a decision. If the history is full, the decision replaces the oldest one.
func (c *Causes) Record(_ time.Time, decision comfreyvale.Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.decisions) < c.Limit {
		c.decisions = append(c.decisions, decision)
		return
	}
	c.decisions[c.next] = decision
	c.next = (c.next + 1) % c.Limit
}

// Explain returns the decisions about a request ID, an upstream or a service, oldest first.
func (c *Causes) Explain(subject string) []comfreyvale.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []comfreyvale.Decision
	for i := range c.decisions {
		d := c.decisions[(c.next+i)%len(c.decisions)]
		if subject == d.Request() || subject == d.Upstream() || subject == d.Service() {
			found = append(found, d)
		}
	}
	return found
}

// String returns a short description of the recorder.
func (c *Causes) String() string { return fmt.Sprintf("last %d decisions", c.Limit) }
