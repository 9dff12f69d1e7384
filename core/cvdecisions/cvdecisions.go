// Package cvdecisions is a bounded memory of the decisions that hurt callers.
package cvdecisions

import (
	"fmt"
	"sync"
	"time"

	"comfreyvale"
)

// History keeps the last decisions. It is safe for concurrent use.
type History struct {
	// Limit is how many decisions are kept.
	Limit int

	mu        sync.Mutex
	decisions []comfreyvale.Decision
	next      int
}

// Record keeps a decision in place of the oldest one.
func (c *History) Record(_ time.Time, decision comfreyvale.Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.decisions) < c.Limit {
		c.decisions = append(c.decisions, decision)
		return
	}
	c.decisions[c.next] = decision
	c.next = (c.next + 1) % c.Limit
}

// Explain returns the decisions about a request id, an upstream or a service, oldest first.
func (c *History) Explain(subject string) []comfreyvale.Decision {
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

// String names the implementation.
func (c *History) String() string { return fmt.Sprintf("last %d decisions", c.Limit) }
