package cvnode

import (
	"slices"
	"time"

	"github.com/apex/log"

	"comfreyvale/core/cvevacuation"
	"comfreyvale/core/cvwire"
)

// maxEvacuationAge is the age of another balancer's last read up to which it is asked for what it knows of evacuations.
// In an outage of the platform's log, what was read last stays in force.
const maxEvacuationAge = time.Hour

// updateEvacuation applies what this balancer has learned of evacuations, passes changes on to the groups and logs them.
// from is the balancer that told, or "directory".
func (n *Node) updateEvacuation(now time.Time, from string, apply func(e *cvevacuation.Evacuation)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.evacuation.DataCentres()
	apply(&n.evacuation)
	after := n.evacuation.DataCentres()
	if slices.Equal(before, after) {
		return
	}
	for _, s := range n.groups {
		s.SetEvacuated(now, after)
	}
	next := n.evacuation.Next()
	logDifference := func(of, without []string, message string) {
		for _, name := range of {
			if !slices.Contains(without, name) {
				n.Logger.WithFields(log.Fields{"dataCentre": name, "from": from, "next": next.Offset(), "era": next.Era()}).Warn(message)
			}
		}
	}
	logDifference(after, before, "data centre is evacuated; its upstreams get no requests")
	logDifference(before, after, "data centre is no longer evacuated; its upstreams count as warming up")
}

// addEvacuation adds the evacuated data centres to a snapshot. The caller holds n.mu.
func (n *Node) addEvacuation(s *cvwire.Snapshot) {
	next := n.evacuation.Next()
	s.Evacuated, s.EvacuatedEra, s.EvacuatedNext = n.evacuation.DataCentres(), next.Era(), next.Offset()
}

// aheadInRecords returns the address of a balancer that has read the operator's records beyond the position up to which
// this one knows the evacuations, or "". As this balancer's own read usually follows soon, it returns one only if the
// position was the same at the last call.
func (n *Node) aheadInRecords(now time.Time) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.EvacuationPrefix == "" {
		return ""
	}
	next := n.evacuation.Next()
	ahead, _, _ := n.news.Ahead(now, maxEvacuationAge, next, next)
	stayed := n.wasBehind && n.behindAt == next
	n.behindAt, n.wasBehind = next, ahead != ""
	if !stayed {
		return ""
	}
	return ahead
}

// evacuatedCount returns the number of evacuated data centres.
func (n *Node) evacuatedCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.evacuation.DataCentres())
}
