package comfreyvale

import "time"

// Picker chooses the upstream for a try. It is not safe for concurrent use.
type Picker interface {
	// Update replaces the set of upstreams to choose from; what is known of those that stay is kept.
	Update(now time.Time, upstreams []VM, slots int)
	// Pick chooses an upstream that is not among the avoided ones, and counts the try as begun on it.
	// It returns false when none has a free slot. The draw is a uniform random number.
	Pick(now time.Time, draw uint64, avoid []string) (VM, bool)
	// Done ends a try that Pick began.
	Done(now time.Time, upstream string, outcome Outcome)
	// Observe takes what a peer says of its own tries in flight. When that is the whole, upstreams left out have none.
	Observe(now time.Time, peer string, whole bool, inFlight []InFlight)
	// InFlight is what this picker would say to a peer, by upstream name in order.
	InFlight() []InFlight
	// String names the policy.
	String() string
}

// Prober is a policy that pays for measuring requests to upstreams.
type Prober interface {
	// ProbeTargets returns the upstreams to measure now.
	ProbeTargets() []VM
	// RecordProbe takes what an upstream said of itself.
	RecordProbe(now time.Time, upstream VM, inFlight int, latency time.Duration)
}

// Result says how a try ended, as far as routing is concerned.
type Result int

// The results of a try.
const (
	// ResultAnswered is a whole answer.
	ResultAnswered Result = iota
	// ResultFailed is an answer or an end that speaks against the upstream.
	ResultFailed
	// ResultRefused is the upstream's own statement that it did not run the request.
	ResultRefused
	// ResultCancelled is a try that this side gave up.
	ResultCancelled
)

// Outcome is how a try ended.
type Outcome struct {
	result  Result
	latency time.Duration
}

// NewOutcome returns an outcome of a try that took the given time.
func NewOutcome(result Result, latency time.Duration) Outcome {
	return Outcome{result: result, latency: latency}
}

// Result says how the try ended.
func (o Outcome) Result() Result { return o.result }

// Latency is how long the try took.
func (o Outcome) Latency() time.Duration { return o.latency }

// InFlight is a count of tries in flight on one upstream.
type InFlight struct {
	upstream string
	count    int
}

// NewInFlight returns a count for an upstream.
func NewInFlight(upstream string, count int) InFlight {
	return InFlight{upstream: upstream, count: count}
}

// Upstream is the upstream's name.
func (i InFlight) Upstream() string { return i.upstream }

// Count is the number of tries in flight.
func (i InFlight) Count() int { return i.count }
