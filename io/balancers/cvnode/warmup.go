package cvnode

import (
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"comfreyvale"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvprintable"
	"comfreyvale/core/cvroutes"
	"comfreyvale/core/cvwarmuplimit"
	"comfreyvale/io/upstreams/cvslots"
)

// setWarmUp sets how the upstreams of a group warm up by a configuration, which may be nil.
func (n *Node) setWarmUp(now time.Time, t *cvroutes.Table, group string, s *cvslots.Slots) {
	if t == nil {
		return
	}
	g, ok := t.Group(group)
	if !ok {
		return
	}
	terms := n.terms()
	s.SetWarmUp(now, g.WarmUp(), cvwarmuplimit.New(g.WarmUpPerS(), terms.WarmUpOver(), terms.WarmUpSlack()))
}

// recordWarmUp records how much longer an upstream warms up if it says so in a response to a request that was sent at a
// time.
func (n *Node) recordWarmUp(s *cvslots.Slots, instance *cvinstance.Instance, response comfreyvale.Answer, sentAt time.Time) {
	if n.HeaderNames.WarmUp == "" {
		return
	}
	text := strings.TrimSpace(response.Header().Get(n.HeaderNames.WarmUp))
	if text == "" {
		return
	}
	ms, err := strconv.ParseFloat(text, 64)
	if limit := float64(cvinstance.MaxWarmUp.Milliseconds()); err != nil || !(ms >= 0 && ms <= limit) {
		n.logInvalidWarmUp(instance.ID(), text)
		return
	}
	now := time.Now()
	if s.RecordWarmUp(now, sentAt, instance, time.Duration(ms*float64(time.Millisecond))) {
		n.logWarmUp(now, s, instance.ID())
	}
}

// logInvalidWarmUp logs a value that is no remaining warm-up time, unless the upstream's last invalid value was the same.
func (n *Node) logInvalidWarmUp(upstream, value string) {
	n.mu.Lock()
	logged := n.invalidLimits[upstream] == value
	n.invalidLimits[upstream] = value
	n.mu.Unlock()
	if !logged {
		n.Logger.WithFields(log.Fields{"upstream": upstream, "value": cvprintable.Shorten(value, maxLoggedKeyBytes)}).Warn("ignored an invalid warm-up time of an upstream")
	}
}

// logWarmUp logs until when an upstream is warming up, if it is limited because of that.
func (n *Node) logWarmUp(now time.Time, s *cvslots.Slots, upstream string) {
	warmUp, limit, limited := s.WarmUp(now, upstream)
	if !limited {
		return
	}
	n.Logger.WithFields(log.Fields{
		"upstream": upstream, "perSecond": limit.PerSecond(), "leftMs": warmUp.Until().Sub(now).Milliseconds(), "from": warmUp.Source(),
	}).Info("upstream is warming up")
}

// warmingUpUpstreams returns the number of upstreams whose requests are limited because they are warming up.
func (n *Node) warmingUpUpstreams(now time.Time) int {
	count := 0
	for _, s := range n.allSlots() {
		count += s.WarmingUpCount(now)
	}
	return count
}
