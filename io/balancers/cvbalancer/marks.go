package cvbalancer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/apex/log"

	"comfreyvale"
	"comfreyvale/core/cvcall"
	"comfreyvale/core/cvservice"
	"comfreyvale/core/cvwire"
)

// fingerprintBytes is the length of a fingerprint before hex encoding.
const fingerprintBytes = 12

// fingerprint returns the same digest for requests that are the same to an upstream.
func fingerprint(call *cvcall.Call) string {
	digest := sha256.New()
	for _, part := range []string{call.Service().Name(), call.Method(), call.Target(), call.Key()} {
		fmt.Fprintf(digest, "%d:%s", len(part), part)
	}
	digest.Write(call.Body())
	return hex.EncodeToString(digest.Sum(nil)[:fingerprintBytes])
}

// upstreamDraining handles an upstream's statement that it is draining, and informs all balancers if this is new.
func (b *Balancer) upstreamDraining(service, upstream string) {
	if b.markDraining(time.Now(), service, upstream) {
		b.gossip.SendMark(&cvwire.Mark{Sort: cvwire.Mark_DRAINING, Subject: service, Upstream: upstream})
	}
}

// markDraining returns false if the service or the upstream is unknown, if the upstream is already draining, or if the
// routing policy does not support draining.
func (b *Balancer) markDraining(now time.Time, service, upstream string) bool {
	d := b.table.Dispatcher(service)
	if d == nil || !d.MarkDraining(now, upstream) {
		return false
	}
	b.recorder.Record(now, comfreyvale.NewDecision(now, "", service, comfreyvale.CauseDraining).
		WithUpstream(upstream).WithCondition("the upstream said so in an answer to one of the balancers"))
	b.metrics.StateChanged("draining")
	b.Logger.WithFields(log.Fields{"service": service, "upstream": upstream}).Info("upstream draining")
	return true
}

func (b *Balancer) upstreamEjected(service *cvservice.Service, upstream string) {
	now := time.Now()
	b.recorder.Record(now, comfreyvale.NewDecision(now, "", service.Name(), comfreyvale.CauseEjected).
		WithUpstream(upstream).WithSetting(service.Setting("ejectFailures")).WithCondition("it failed so many times in a row"))
	b.metrics.StateChanged("ejected")
	b.Logger.WithFields(log.Fields{"service": service.Name(), "upstream": upstream}).Warn("upstream ejected")
}

// upstreamCrashed records that an upstream crashed while it ran a request, and informs all balancers.
func (b *Balancer) upstreamCrashed(call *cvcall.Call, upstream string) {
	subject := fingerprint(call)
	quarantineTime := call.Service().QuarantineTime()
	b.recordCrash(time.Now(), subject, upstream, quarantineTime)
	b.gossip.SendMark(&cvwire.Mark{
		Sort: cvwire.Mark_SUSPECT, Subject: subject, Upstream: upstream, RemainingMs: quarantineTime.Milliseconds(),
	})
}

func (b *Balancer) recordCrash(now time.Time, subject, upstream string, quarantineTime time.Duration) {
	b.mu.Lock()
	newlyQuarantined := b.quarantine.RecordCrash(now, subject, upstream, quarantineTime)
	b.mu.Unlock()
	if newlyQuarantined {
		b.metrics.StateChanged("quarantine")
		b.Logger.WithFields(log.Fields{"fingerprint": subject, "upstream": upstream}).Warn("request quarantined")
	}
}

func (b *Balancer) retryBlocked(call *cvcall.Call) bool {
	_, quarantined := b.quarantined(time.Now(), call)
	return quarantined
}

// quarantined reports whether a request must be refused, and returns the evidence.
func (b *Balancer) quarantined(now time.Time, call *cvcall.Call) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.quarantine.Len() == 0 {
		return "", false
	}
	return b.quarantine.Quarantined(now, fingerprint(call))
}

// isSuspect reports whether an upstream crashed recently while it ran the request and the request has not completed
// since.
func (b *Balancer) isSuspect(call *cvcall.Call) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quarantine.Len() > 0 && b.quarantine.IsSuspect(fingerprint(call))
}

// assignUpstream returns the upstream for the next attempt of a suspected request, or an empty string if any may
// run it.
func (b *Balancer) assignUpstream(call *cvcall.Call, upstreams []string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quarantine.AssignUpstream(fingerprint(call), upstreams)
}

// requestCompleted clears a completed request if it was suspected, and informs all balancers.
func (b *Balancer) requestCompleted(call *cvcall.Call) {
	b.mu.Lock()
	if b.quarantine.Len() == 0 {
		b.mu.Unlock()
		return
	}
	subject := fingerprint(call)
	cleared := b.quarantine.RecordCompletion(time.Now(), subject)
	b.mu.Unlock()
	if cleared {
		b.gossip.SendMark(&cvwire.Mark{Sort: cvwire.Mark_CLEARED, Subject: subject})
	}
}

func (b *Balancer) applyMark(now time.Time, mark *cvwire.Mark) {
	switch mark.GetSort() {
	case cvwire.Mark_DRAINING:
		b.markDraining(now, mark.GetSubject(), mark.GetUpstream())
	case cvwire.Mark_SUSPECT:
		b.recordCrash(now, mark.GetSubject(), mark.GetUpstream(), time.Duration(mark.GetRemainingMs())*time.Millisecond)
	case cvwire.Mark_CLEARED:
		b.mu.Lock()
		b.quarantine.RecordCompletion(now, mark.GetSubject())
		b.mu.Unlock()
	case cvwire.Mark_LIFTED:
		b.mu.Lock()
		b.quarantine.Lift(now, mark.GetSubject())
		b.mu.Unlock()
	}
}

// liftQuarantine ends a quarantine on all balancers, and reports whether there was one.
func (b *Balancer) liftQuarantine(subject string) bool {
	b.mu.Lock()
	lifted := b.quarantine.Lift(time.Now(), subject)
	b.mu.Unlock()
	if lifted {
		b.metrics.StateChanged("quarantineLifted")
		b.gossip.SendMark(&cvwire.Mark{Sort: cvwire.Mark_LIFTED, Subject: subject})
	}
	return lifted
}

func (b *Balancer) quarantines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quarantine.List(time.Now())
}

func (b *Balancer) expire(now time.Time) {
	b.claims.Expire(now)
	b.homes.Expire(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quarantine.Expire(now)
}
