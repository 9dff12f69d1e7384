// Package cvfairness decides which workspaces have had more than their fair share of the upstreams.
//
// The load that it handles: the requests of some 74 workspaces of very different sizes exceed the slots, and one
// workspace asks for up to 7.5 times its usual rate. A workspace's recent requests, over all balancers, are compared
// with its weight. Small workspaces send one or two requests a second, so a few requests more than a share's worth are
// chance and don't count.
package cvfairness

import (
	"math"
	"time"
)

const (
	// timeConstant is the time constant of the decay of usage: longer than requests wait and than counts of other
	// balancers are delayed, and short enough that a workspace whose burst has ended has its share again after seconds.
	timeConstant = time.Second
	// tolerance is the usage, as a multiple of a fair share, up to which a workspace isn't above it, and the ratio between
	// two steps above that.
	tolerance = 1.15
	// allowance is the number of recent requests that a workspace may have beyond that.
	allowance = 2
	// maxSteps bounds Steps.
	maxSteps = 20
	// levelInterval is the interval at which the level is computed: usage changes little in a hundredth of timeConstant.
	levelInterval = timeConstant / 100
	// minUsage is the usage below which a workspace is forgotten. A single request falls to it in five time constants.
	minUsage = 0.007
)

// Fairness compares the recent usage of workspaces. The zero value knows no weights, so that all are the same. It is not
// safe for concurrent use.
type Fairness struct {
	weights    map[string]float64
	meanWeight float64
	// usage holds the active workspaces.
	usage map[string]*usage
	// level is the usage of all active workspaces divided by the sum of their weights, as of levelAt.
	level   float64
	levelAt time.Time
}

// usage is a decayed count of requests as of a time.
type usage struct {
	count float64
	at    time.Time
}

func (u *usage) countAt(now time.Time) float64 {
	return u.count * math.Exp(-float64(max(now.Sub(u.at), 0))/float64(timeConstant))
}

// SetWeights sets the weights of the workspaces. One that is missing or has a weight of 0 or less gets the mean of the
// others.
func (f *Fairness) SetWeights(weights map[string]float64) {
	f.weights = make(map[string]float64, len(weights))
	sum := 0.0
	for name, w := range weights {
		if w > 0 {
			f.weights[name] = w
			sum += w
		}
	}
	f.meanWeight = 1
	if len(f.weights) > 0 {
		f.meanWeight = sum / float64(len(f.weights))
	}
	f.levelAt = time.Time{}
}

// Record counts requests of a workspace that were admitted by any balancer. A negative count takes back requests that
// did not run.
func (f *Fairness) Record(now time.Time, workspace string, count int) {
	u := f.usage[workspace]
	if u == nil {
		if f.usage == nil {
			f.usage = make(map[string]*usage)
		}
		u = &usage{}
		f.usage[workspace] = u
	}
	u.count = max(u.countAt(now)+float64(count), 0)
	if now.After(u.at) {
		u.at = now
	}
}

// Steps returns how far a workspace is above its fair share now: 0 if it isn't, or by how many factors of the tolerance.
func (f *Fairness) Steps(now time.Time, workspace string) int {
	u := f.usage[workspace]
	if u == nil {
		return 0
	}
	f.updateLevel(now)
	used, share := u.countAt(now)-allowance, f.level*f.weight(workspace)
	if share <= 0 || used <= tolerance*share {
		return 0
	}
	return min(int(math.Ceil(math.Log(used/share)/math.Log(tolerance)))-1, maxSteps)
}

func (f *Fairness) weight(workspace string) float64 {
	if w := f.weights[workspace]; w > 0 {
		return w
	}
	if f.meanWeight > 0 {
		return f.meanWeight
	}
	return 1
}

func (f *Fairness) updateLevel(now time.Time) {
	if !f.levelAt.IsZero() && !now.Before(f.levelAt) && now.Sub(f.levelAt) < levelInterval {
		return
	}
	used, weights := 0.0, 0.0
	for name, u := range f.usage {
		count := u.countAt(now)
		if count < minUsage {
			delete(f.usage, name)
			continue
		}
		used += count
		weights += f.weight(name)
	}
	f.level, f.levelAt = 0, now
	if weights > 0 {
		f.level = used / weights
	}
}

// Usage returns a workspace's recent requests and how many would be its fair share.
func (f *Fairness) Usage(now time.Time, workspace string) (used, share float64) {
	f.updateLevel(now)
	if u := f.usage[workspace]; u != nil {
		used = u.countAt(now)
	}
	return used, f.level * f.weight(workspace)
}
