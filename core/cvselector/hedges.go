package cvselector

import "time"

// maxHedgeSlowness is the reported slowness from which an upstream gets no hedge.
const maxHedgeSlowness = 1.5

// suitsHedge reports whether an upstream with the given load may get a hedge. A hedge gives way to other requests, so it
// takes no permit of an upstream that limits its requests, and not the last slot, which slows down the others. On a
// machine that is reported slow, such as that of the first attempt, it would be no quicker.
func suitsHedge(now time.Time, u *upstream, load float64) bool {
	if u.limited() || now.Before(u.slowUntil) || u.warmUp.Active(now) || load+1 > fullSpeedLimit(u.instance)+loadTolerance {
		return false
	}
	return u.slowness < maxHedgeSlowness || now.Sub(u.slownessAt) >= slownessMaxAge
}
