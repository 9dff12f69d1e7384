// Package cvterms is what a deployment promises about times and budgets, and what it expects to be kept.
package cvterms

import "time"

const (
	// longestReadWait is how long a read of a directory waits at most: longer waits save no calls worth having.
	longestReadWait = 1800 * time.Millisecond
	// longestReadPause is the pause after a reading at most, for the same reason.
	longestReadPause = 400 * time.Millisecond
	// longestAskPause is the pause between two looks at what others know at most: a look costs nothing but its message.
	longestAskPause = 600 * time.Millisecond
)

// Terms are a deployment's bounds. It never changes.
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

// New returns the terms that hold where a deployment says nothing.
func New() Terms {
	return Terms{
		drain: 2 * time.Second, apply: 2 * time.Second, grace: 6 * time.Second, stable: 3 * time.Second, notice: 2500 * time.Millisecond,
		retryRatio: 0.1, retryWindow: 10 * time.Second, retrySlack: 10,
	}
}

// WithStops returns the terms with the time in which a leaving upstream gets no new work, the time after which a stopped
// process is killed, and the time after which everything runs as usual behind a disruption.
func (t Terms) WithStops(drain, grace, stable time.Duration) Terms {
	t.drain, t.grace, t.stable = drain, grace, stable
	return t
}

// WithNotice returns the terms with the time that the platform takes to send a stopping balancer no more connections.
func (t Terms) WithNotice(notice time.Duration) Terms {
	t.notice = notice
	return t
}

// WithApply returns the terms with the time in which an acknowledged configuration is in force.
func (t Terms) WithApply(apply time.Duration) Terms {
	t.apply = apply
	return t
}

// WithRetries returns the terms with the further tries that a window allows, for all balancers together: a ratio of the
// requests and a slack.
func (t Terms) WithRetries(ratio float64, window time.Duration, slack float64) Terms {
	t.retryRatio, t.retryWindow, t.retrySlack = ratio, window, slack
	return t
}

// WithProbes returns the terms with the health checks that one upstream allows in a second.
func (t Terms) WithProbes(perSecond float64) Terms {
	t.probesPerSec = perSecond
	return t
}

// Drain is the time in which a leaving upstream gets no new work.
func (t Terms) Drain() time.Duration { return t.drain }

// Apply is the time in which an acknowledged configuration is in force.
func (t Terms) Apply() time.Duration { return t.apply }

// Grace is the time after which a stopped process is killed.
func (t Terms) Grace() time.Duration { return t.grace }

// Notice is how long after the stop signal new connections may still come.
func (t Terms) Notice() time.Duration { return t.notice }

// Stable is the time after which everything runs as usual behind a disruption.
func (t Terms) Stable() time.Duration { return t.stable }

// ReadWait is how long a read of a directory waits for a record: a read that the platform has forgotten is noticed only when
// it is overdue, which leaves two fifths of the time after which everything runs as usual for the next one.
func (t Terms) ReadWait() time.Duration { return min(t.stable*3/5, longestReadWait) }

// ReadPause is the pause after a reading that brought records, in which further ones gather: a fifth of the time in which
// changes must be in force, of which reading and applying take a tenth.
func (t Terms) ReadPause() time.Duration { return min(t.change()/5, longestReadPause) }

// PeerPollInterval is the time between two looks whether other balancers know what this one cannot read: a third of the time in which
// changes must be in force.
func (t Terms) PeerPollInterval() time.Duration { return min(t.change()*3/10, longestAskPause) }

// change is the time in which changes must be in force, of the configuration and of upstreams.
func (t Terms) change() time.Duration { return min(t.drain, t.apply) }

// RetryRatio is how many further tries each request allows.
func (t Terms) RetryRatio() float64 { return t.retryRatio }

// RetryWindow is the length of the window in which further tries are counted.
func (t Terms) RetryWindow() time.Duration { return t.retryWindow }

// RetrySlack is how many further tries a window allows on top.
func (t Terms) RetrySlack() float64 { return t.retrySlack }

// ProbesPerSecond is how many health checks one upstream allows in a second.
func (t Terms) ProbesPerSecond() float64 { return t.probesPerSec }
