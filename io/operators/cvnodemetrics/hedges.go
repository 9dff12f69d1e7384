package cvnodemetrics

import "time"

// The results of hedges.
const (
	hedgeStarted = "started"
	hedgeWon     = "won"
)

// HedgeStarted counts a second attempt of a request that was started while the first one was in flight. It is for hedges
// within the operators' limit alone; others show in the attempts of their group.
func (m *Metrics) HedgeStarted(group string) { m.hedges.WithLabelValues(group, hedgeStarted).Inc() }

// HedgeWon counts a hedge that was answered before the attempt beside which it was started.
func (m *Metrics) HedgeWon(group string) { m.hedges.WithLabelValues(group, hedgeWon).Inc() }

// HedgeGivenUp counts a slow request that was not hedged while that could have helped. The reasons are those of
// cvhedging, a closed list.
func (m *Metrics) HedgeGivenUp(group, reason string) {
	m.hedgesGivenUp.WithLabelValues(group, reason).Inc()
}

// SetExtraWorkShare sets the recent hedges of a group as a share of its idempotent requests.
func (m *Metrics) SetExtraWorkShare(group string, share float64) {
	m.extraWorkShare.WithLabelValues(group).Set(share)
}

// SetDurations sets of how many recent attempts of a route the durations are known, and the time since the last one was
// added. Routes come and go with configurations, so RemoveDurations must follow when a route is forgotten.
func (m *Metrics) SetDurations(route string, attempts int, age time.Duration) {
	m.knownDurations.WithLabelValues(route).Set(float64(attempts))
	m.durationsAge.WithLabelValues(route).Set(age.Seconds())
}

// RemoveDurations removes what SetDurations has set for a route.
func (m *Metrics) RemoveDurations(route string) {
	m.knownDurations.DeleteLabelValues(route)
	m.durationsAge.DeleteLabelValues(route)
}
