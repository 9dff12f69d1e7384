package comfreyvale

import "time"

// Picker chooses the upstream for each attempt by a load-balancing policy. It is not safe for concurrent use.
type Picker interface {
	// Update replaces the set of upstreams to choose from, each with the given number of slots. Upstreams that stay
	// keep their state.
	Update(now time.Time, upstreams []VM, slots int)
	// Pick returns an upstream that is not in avoid, and counts an attempt as in flight on it. It returns false if no
	// such upstream has a free slot. Draw is a uniformly distributed random number.
	Pick(now time.Time, draw uint64, avoid []string) (VM, bool)
	// Done ends an attempt that Pick counted.
	Done(now time.Time, upstream string, outcome Outcome)
	// Observe stores the numbers of attempts that a peer has in flight on upstreams. For upstreams that are not in
	// inFlight, the stored number becomes 0 if complete is true, and stays otherwise.
	Observe(now time.Time, peer string, complete bool, inFlight []InFlight)
	// InFlight returns the numbers of attempts that this balancer has in flight, sorted by upstream name. Peers pass
	// them to Observe.
	InFlight() []InFlight
	// String returns the name of the policy.
	String() string
}

// Prober is implemented by policies that measure the load of upstreams by extra requests.
type Prober interface {
	// ProbeTargets returns the upstreams to probe now.
	ProbeTargets() []VM
	// RecordProbe stores the requests in flight and the latency that a probed upstream reported.
	RecordProbe(now time.Time, upstream VM, inFlight int, latency time.Duration)
}

// Result classifies the end of an attempt for load balancing.
type Result int

// The results of an attempt.
const (
	// ResultAnswered means that the upstream sent a complete response.
	ResultAnswered Result = iota
	// ResultFailed means that the attempt failed because of the upstream.
	ResultFailed
	// ResultRefused means that the upstream reported that it did not run the request.
	ResultRefused
	// ResultCancelled means that the balancer or the caller cancelled the attempt.
	ResultCancelled
)

// Outcome is the result and latency of an attempt.
type Outcome struct {
	result  Result
	latency time.Duration
}

// NewOutcome returns the outcome of an attempt.
func NewOutcome(result Result, latency time.Duration) Outcome {
	return Outcome{result: result, latency: latency}
}

// Result returns the result of the attempt.
func (o Outcome) Result() Result { return o.result }

// Latency returns the duration of the attempt.
func (o Outcome) Latency() time.Duration { return o.latency }

// InFlight is the number of attempts in flight on one upstream.
type InFlight struct {
	upstream string
	count    int
}

// NewInFlight returns the number of attempts in flight on an upstream.
func NewInFlight(upstream string, count int) InFlight {
	return InFlight{upstream: upstream, count: count}
}

// Upstream returns the name of the upstream.
func (i InFlight) Upstream() string { return i.upstream }

// Count returns the number of attempts in flight.
func (i InFlight) Count() int { return i.count }
