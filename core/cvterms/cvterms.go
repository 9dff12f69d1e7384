// Package cvterms defines the time bounds and retry budgets of a deployment.
package cvterms

import "time"

const (
	// maxReadWait bounds how long a read of a directory waits; longer waits save too few calls to matter.
	maxReadWait = 1800 * time.Millisecond
	// maxReadPause bounds the pause after a read, for the same reason.
	maxReadPause = 400 * time.Millisecond
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
}

// New returns the default terms.
func New() Terms {
	return Terms{
		drain: 2 * time.Second, apply: 2 * time.Second, grace: 6 * time.Second, stable: 3 * time.Second, notice: 2500 * time.Millisecond,
		retryRatio: 0.1, retryWindow: 10 * time.Second, retrySlack: 10,
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
