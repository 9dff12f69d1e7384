package cvselector

import "time"

// peerCount is the number of in-flight attempts of one balancer, or of another data centre, as last reported.
type peerCount struct {
	count int
	at    time.Time
	// remote reports whether the count is that of another data centre's balancers.
	remote bool
}

// localInFlight returns the in-flight attempts of this data centre's balancers.
func (u *upstream) localInFlight(now time.Time) int {
	total := len(u.attempts)
	for _, c := range u.peerCounts {
		if !c.remote && now.Sub(c.at) < peerCountMaxAge {
			total += c.count
		}
	}
	return total
}

// peerInFlight returns the in-flight attempts of all other balancers.
func (u *upstream) peerInFlight(now time.Time) int {
	total := 0
	for _, c := range u.peerCounts {
		if now.Sub(c.at) < peerCountMaxAge {
			total += c.count
		}
	}
	return total
}

// updateUnattributed compares the reported load with the attempts that are known now.
func (u *upstream) updateUnattributed(now time.Time) {
	u.unattributed = max(float64(u.reportedLoad-len(u.attempts)-u.peerInFlight(now)), 0)
}
