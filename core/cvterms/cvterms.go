// Package cvterms defines the time bounds and retry budgets of a deployment.
package cvterms

import "time"

const (
	// maxReadWait bounds how long a read of a directory waits; longer waits save too few calls to matter.
	maxReadWait = 1800 * time.Millisecond
	// maxReadPause bounds the pause after a read, for the same reason.
	maxReadPause = 400 * time.Millisecond
	// revokeReadShare is the share of Revoke that one read may wait. The start of a read is what it proves, so two reads in
	// a row, the pause between them and the messages to the other balancers must fit, with a failed read besides.
	revokeReadShare = 0.2
	// maxPeerPollInterval bounds the time between two polls of peers, which cost only a message each.
	maxPeerPollInterval = 600 * time.Millisecond
)

// Terms holds the bounds of a deployment. It is immutable.
type Terms struct {
	drain        time.Duration
	apply        time.Duration
	grace        time.Duration
	stable       time.Duration
	notice       time.Duration
	retryRatio   float64
	retryWindow  time.Duration
	retrySlack   float64
	probesPerSec float64
	revoke       time.Duration
	quotaWindow  time.Duration
	quotaOver    float64
	quotaSlack   float64
	warmUpOver   float64
	warmUpSlack  float64
	evacuate     time.Duration
}

// New returns the default terms.
func New() Terms {
	return Terms{
		drain: 2 * time.Second, apply: 2 * time.Second, grace: 6 * time.Second, stable: 3 * time.Second, notice: 2500 * time.Millisecond,
		retryRatio: 0.1, retryWindow: 10 * time.Second, retrySlack: 10,
		quotaWindow: 5 * time.Second, warmUpOver: 1, evacuate: 5 * time.Second,
	}
}

// WithStopTimes returns a copy with other values of Drain, Grace and Stable.
func (t Terms) WithStopTimes(drain, grace, stable time.Duration) Terms {
	t.drain, t.grace, t.stable = drain, grace, stable
	return t
}

// WithNotice returns a copy with another Notice.
func (t Terms) WithNotice(notice time.Duration) Terms {
	t.notice = notice
	return t
}

// WithApply returns a copy with another Apply.
func (t Terms) WithApply(apply time.Duration) Terms {
	t.apply = apply
	return t
}

// WithRetries returns a copy with another RetryRatio, RetryWindow and RetrySlack.
func (t Terms) WithRetries(ratio float64, window time.Duration, slack float64) Terms {
	t.retryRatio, t.retryWindow, t.retrySlack = ratio, window, slack
	return t
}

// WithProbes returns a copy with another ProbesPerSecond.
func (t Terms) WithProbes(perSecond float64) Terms {
	t.probesPerSec = perSecond
	return t
}

// WithRevoke returns a copy with another Revoke.
func (t Terms) WithRevoke(revoke time.Duration) Terms {
	t.revoke = revoke
	return t
}

// WithQuotas returns a copy with another QuotaWindow, QuotaOver and QuotaSlack.
func (t Terms) WithQuotas(window time.Duration, over, slack float64) Terms {
	t.quotaWindow, t.quotaOver, t.quotaSlack = window, over, slack
	return t
}

// WithWarmUp returns a copy with another WarmUpOver and WarmUpSlack.
func (t Terms) WithWarmUp(over, slack float64) Terms {
	t.warmUpOver, t.warmUpSlack = over, slack
	return t
}

// WithEvacuate returns a copy with another Evacuate.
func (t Terms) WithEvacuate(evacuate time.Duration) Terms {
	t.evacuate = evacuate
	return t
}

// Drain returns the time within which a draining upstream stops receiving new requests.
func (t Terms) Drain() time.Duration { return t.drain }

// Apply returns the time within which an acknowledged configuration takes effect.
func (t Terms) Apply() time.Duration { return t.apply }

// Grace returns how long after the stop signal the platform kills the process.
func (t Terms) Grace() time.Duration { return t.grace }

// Notice returns how long after the stop signal the platform may still send new connections.
func (t Terms) Notice() time.Duration { return t.notice }

// Stable returns the time after which service is back to normal after a disruption.
func (t Terms) Stable() time.Duration { return t.stable }

// ReadWait returns how long a read of a directory waits for a record. A read that the platform has lost is noticed only
// when overdue; this wait leaves two fifths of Stable for the next read.
func (t Terms) ReadWait() time.Duration { return min(t.stable*3/5, maxReadWait) }

// ConfigurationWait returns how long a read of the operator's directory waits for a record. Such a read also shows that
// the configuration is the newest, which must be known again and again within Revoke.
func (t Terms) ConfigurationWait() time.Duration {
	if t.revoke > 0 {
		return min(t.ReadWait(), time.Duration(revokeReadShare*float64(t.revoke)))
	}
	return t.ReadWait()
}

// ReadPause returns the pause after a read that returned records, in which further records accumulate: a fifth of the
// time within which changes must take effect. Reading and applying them take another tenth.
func (t Terms) ReadPause() time.Duration { return min(t.changeTime()/5, maxReadPause) }

// PeerPollInterval returns the time between two polls that ask peers for data that this balancer cannot read: three
// tenths of the time within which changes must take effect.
func (t Terms) PeerPollInterval() time.Duration { return min(t.changeTime()*3/10, maxPeerPollInterval) }

// changeTime returns the time within which changes of the configuration and of upstreams must take effect.
func (t Terms) changeTime() time.Duration { return min(t.drain, t.apply) }

// RetryRatio returns how many extra attempts each request allows.
func (t Terms) RetryRatio() float64 { return t.retryRatio }

// RetryWindow returns the length of the window in which extra attempts are counted.
func (t Terms) RetryWindow() time.Duration { return t.retryWindow }

// RetrySlack returns how many extra attempts a window allows in addition, for all balancers together.
func (t Terms) RetrySlack() float64 { return t.retrySlack }

// ProbesPerSecond returns how many health checks per second one upstream allows.
func (t Terms) ProbesPerSecond() float64 { return t.probesPerSec }

// Revoke returns the time within which a withdrawn API key stops working everywhere, or 0 for no limit.
func (t Terms) Revoke() time.Duration { return t.revoke }

// QuotaWindow returns the length of the window in which requests of a workspace are counted.
func (t Terms) QuotaWindow() time.Duration { return t.quotaWindow }

// QuotaOver returns the share of a quota by which a window may exceed it.
func (t Terms) QuotaOver() float64 { return t.quotaOver }

// QuotaSlack returns how many requests of a workspace a window may hold in addition.
func (t Terms) QuotaSlack() float64 { return t.quotaSlack }

// WarmUpOver returns the factor by which an upstream that is warming up may get more requests in a second.
func (t Terms) WarmUpOver() float64 { return t.warmUpOver }

// WarmUpSlack returns how many requests such an upstream may get in a second in addition.
func (t Terms) WarmUpSlack() float64 { return t.warmUpSlack }

// Evacuate returns the time within which upstreams of an evacuated data centre stop receiving requests.
func (t Terms) Evacuate() time.Duration { return t.evacuate }
