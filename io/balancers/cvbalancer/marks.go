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

// fingerprintBytes is the size of a request's fingerprint.
const fingerprintBytes = 12

// fingerprint stands for all requests that are the same to an upstream.
func fingerprint(call *cvcall.Call) string {
	digest := sha256.New()
	for _, part := range []string{call.Service().Name(), call.Method(), call.Target(), call.Key()} {
		fmt.Fprintf(digest, "%d:%s", len(part), part)
	}
	digest.Write(call.Body())
	return hex.EncodeToString(digest.Sum(nil)[:fingerprintBytes])
}

// draining takes an upstream's sign that it is leaving, and tells it to all balancers.
func (b *Balancer) draining(service, upstream string) {
	if b.drain(time.Now(), service, upstream) {
		b.gossip.SendMark(&cvwire.Mark{Sort: cvwire.Mark_DRAINING, Subject: service, Upstream: upstream})
	}
}

// drain stops new calls to an upstream and returns whether that is news.
func (b *Balancer) drain(now time.Time, service, upstream string) bool {
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

// ejected notes that an upstream gets no calls because of its failures.
func (b *Balancer) ejected(service *cvservice.Service, upstream string) {
	now := time.Now()
	b.recorder.Record(now, comfreyvale.NewDecision(now, "", service.Name(), comfreyvale.CauseEjected).
		WithUpstream(upstream).WithSetting(service.Setting("ejectFailures")).WithCondition("it failed so many times in a row"))
	b.metrics.StateChanged("ejected")
	b.Logger.WithFields(log.Fields{"service": service.Name(), "upstream": upstream}).Warn("upstream ejected")
}

// died notes an upstream's death while it ran a call, and tells it to all balancers.
func (b *Balancer) died(call *cvcall.Call, upstream string) {
	subject := fingerprint(call)
	quarantineTime := call.Service().QuarantineTime()
	b.noteDeath(time.Now(), subject, upstream, quarantineTime)
	b.gossip.SendMark(&cvwire.Mark{
		Sort: cvwire.Mark_SUSPECT, Subject: subject, Upstream: upstream, RemainingMs: quarantineTime.Milliseconds(),
	})
}

func (b *Balancer) noteDeath(now time.Time, subject, upstream string, quarantineTime time.Duration) {
	b.mu.Lock()
	convicted := b.quarantine.RecordCrash(now, subject, upstream, quarantineTime)
	b.mu.Unlock()
	if convicted {
		b.metrics.StateChanged("quarantine")
		b.Logger.WithFields(log.Fields{"fingerprint": subject, "upstream": upstream}).Warn("request quarantined")
	}
}

// barred says whether a call must not be tried again.
func (b *Balancer) barred(call *cvcall.Call) bool {
	_, quarantined := b.quarantined(time.Now(), call)
	return quarantined
}

// quarantined says whether a call is refused, with the evidence.
func (b *Balancer) quarantined(now time.Time, call *cvcall.Call) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.quarantine.Len() == 0 {
		return "", false
	}
	return b.quarantine.Quarantined(now, fingerprint(call))
}

// suspected says whether an upstream died of a call.
func (b *Balancer) suspected(call *cvcall.Call) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quarantine.Len() > 0 && b.quarantine.IsSuspect(fingerprint(call))
}

// place returns the upstream that runs the next try of a suspected call.
func (b *Balancer) place(call *cvcall.Call, upstreams []string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quarantine.AssignUpstream(fingerprint(call), upstreams)
}

// settled notes that a call ran to its end, and tells all balancers if it had been a suspect.
func (b *Balancer) settled(call *cvcall.Call) {
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

// takeMark takes over a peer's mark.
func (b *Balancer) takeMark(now time.Time, mark *cvwire.Mark) {
	switch mark.GetSort() {
	case cvwire.Mark_DRAINING:
		b.drain(now, mark.GetSubject(), mark.GetUpstream())
	case cvwire.Mark_SUSPECT:
		b.noteDeath(now, mark.GetSubject(), mark.GetUpstream(), time.Duration(mark.GetRemainingMs())*time.Millisecond)
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

// lift ends a quarantine on all balancers, for an operator.
func (b *Balancer) lift(subject string) bool {
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

// expire forgets what is old.
func (b *Balancer) expire(now time.Time) {
	b.claims.Expire(now)
	b.homes.Expire(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quarantine.Expire(now)
}
