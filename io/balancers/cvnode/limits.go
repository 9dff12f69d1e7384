package cvnode

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"comfreyvale"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvnamedlimit"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/upstreams/cvslots"
)

// recordLimit records the request limit that an upstream names in a response to a request that was sent at a time. Every
// response of the upstream itself, which bears its signature, says whether there is one.
func (n *Node) recordLimit(s *cvslots.Slots, instance *cvinstance.Instance, response comfreyvale.Answer, sentAt time.Time) {
	if response.Status() == 0 || response.Status() == http.StatusMisdirectedRequest {
		return
	}
	n.recordWarmUp(s, instance, response, sentAt)
	text := response.Header().Get(n.HeaderNames.Limit)
	at, perSecond := time.Now(), 0.0
	switch {
	case text != "":
		var valid bool
		if perSecond, valid = n.HeaderNames.ParseLimit(text); !valid {
			n.logInvalidLimit(instance.ID(), text, s.NamedLimit(instance.ID()))
			return
		}
	case response.Header().Get(n.HeaderNames.Signature) != "":
		// A response without a limit counts as of when its request was sent, so that it cannot overtake one that named
		// the limit meanwhile.
		at = sentAt
	default:
		return
	}
	if limit, changed := s.RecordLimit(time.Now(), at, instance, perSecond); changed {
		n.logLimit(instance.ID(), limit)
	}
}

func (n *Node) logLimit(upstream string, limit cvnamedlimit.Limit) {
	entry := n.Logger.WithFields(log.Fields{"upstream": upstream, "perSecond": limit.PerSecond(), "from": limit.Source()})
	if limit.PerSecond() > 0 {
		entry.Info("upstream limits its requests")
		return
	}
	entry.Info("upstream no longer limits its requests")
}

// logInvalidLimit logs a value that is no limit, unless the upstream's last invalid value was the same.
func (n *Node) logInvalidLimit(upstream, value string, inForce cvnamedlimit.Limit) {
	n.mu.Lock()
	logged := n.invalidLimits[upstream] == value
	n.invalidLimits[upstream] = value
	n.mu.Unlock()
	if !logged {
		n.Logger.WithFields(log.Fields{"upstream": upstream, "value": value, "perSecond": inForce.PerSecond()}).Warn("ignored an invalid request limit of an upstream")
	}
}

// limitedUpstreams returns the number of upstreams with a request limit in force.
func (n *Node) limitedUpstreams() int {
	count := 0
	for _, s := range n.allSlots() {
		count += s.LimitedCount()
	}
	return count
}

// receiveLimits records the request limits that another balancer has told.
func (n *Node) receiveLimits(now time.Time, from string, message *cvwire.News, entries map[uint32]upstreamEntry) {
	for _, told := range message.GetLimits() {
		e, ok := entries[told.GetUpstream()]
		if !ok {
			continue
		}
		if limit, changed := e.slots.RecordPeerLimit(now, told, e.instance, from); changed {
			n.logLimit(e.instance.ID(), limit)
		}
		if e.slots.RecordPeerWarmUp(now, told, e.instance, from) {
			n.logWarmUp(now, e.slots, e.instance.ID())
		}
	}
}

// recordDemand counts a request that arrives.
func (n *Node) recordDemand(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.demand.Add(now)
}
