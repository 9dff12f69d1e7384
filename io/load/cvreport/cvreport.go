// Package cvreport implements the report of a run of the load generator.
package cvreport

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"comfreyvale/io/load/cvoutcome"
)

// The results of a call from the view of its caller.
const (
	// Answered is a complete, successful response that belongs to the call.
	Answered = "answered"
	// Refused is a response with a status other than 200.
	Refused = "refused"
	// Broken is a call without a complete response.
	Broken = "broken"
	// Wrong is a response whose content belongs to another call or is incomplete.
	Wrong = "wrong"
	// NotSent is a call that was not sent because too many calls were in flight.
	NotSent = "notSent"
)

const (
	// Bounds of recorded latencies.
	minLatencyMicros = 1
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of latencies in decimal digits.
	significantDigits = 3
)

// Report holds counts and latencies by kind of call and the outcomes of keyed calls. It is not safe for concurrent use.
type Report struct {
	kinds    map[string]*kind
	outcomes map[string][]cvoutcome.Outcome
	causes   map[string]int
}

type kind struct {
	latencies *hdrhistogram.Histogram
	results   map[string]int
}

// New returns an empty report.
func New() *Report {
	return &Report{kinds: make(map[string]*kind), outcomes: make(map[string][]cvoutcome.Outcome), causes: make(map[string]int)}
}

// Add counts a call of the named kind with its result, and records the latency if it was answered.
func (r *Report) Add(name, result string, latency time.Duration) {
	for _, n := range []string{name, "all"} {
		k := r.kinds[n]
		if k == nil {
			k = &kind{latencies: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits), results: make(map[string]int)}
			r.kinds[n] = k
		}
		k.results[result]++
		if result == Answered {
			// RecordValue cannot fail, because the value is within the bounds of the histogram.
			_ = k.latencies.RecordValue(min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros))
		}
	}
}

// AddOutcome adds the outcome of one attempt of the call with the given idempotency key.
func (r *Report) AddOutcome(key string, outcome cvoutcome.Outcome) {
	r.outcomes[key] = append(r.outcomes[key], outcome)
}

// AddCause counts a refusal of a call of the named kind by its cause.
func (r *Report) AddCause(name, cause string) { r.causes[name+": "+cause]++ }

// Outcomes returns the outcomes of the attempts by idempotency key, in the order of AddOutcome.
func (r *Report) Outcomes() map[string][]cvoutcome.Outcome { return r.outcomes }

// Count returns the number of calls of a kind with the given result; the kind "all" stands for all calls.
func (r *Report) Count(name, result string) int {
	k := r.kinds[name]
	if k == nil {
		return 0
	}
	return k.results[result]
}

// Calls returns the number of calls of a kind.
func (r *Report) Calls(name string) int {
	total := 0
	if k := r.kinds[name]; k != nil {
		for _, n := range k.results {
			total += n
		}
	}
	return total
}

// Quantile returns a latency quantile of the answered calls of a kind; share is between 0 and 1.
func (r *Report) Quantile(name string, share float64) time.Duration {
	k := r.kinds[name]
	if k == nil {
		return 0
	}
	return time.Duration(k.latencies.ValueAtQuantile(share*100)) * time.Microsecond
}

// Kinds returns the names of the kinds in alphabetical order, followed by "all".
func (r *Report) Kinds() []string {
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(r.kinds)), func(n string) bool { return n == "all" })
	return append(names, "all")
}

// Write writes the report as a text table.
func (r *Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "calls\tanswered\trefused\tbroken\twrong\tnotSent\tp50 ms\tp99 ms\tp99.9 ms\t\t")
	for _, n := range r.Kinds() {
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t\n", r.Calls(n), r.Count(n, Answered), r.Count(n, Refused), r.Count(n, Broken),
			r.Count(n, Wrong), r.Count(n, NotSent), formatMs(r.Quantile(n, 0.5)), formatMs(r.Quantile(n, 0.99)), formatMs(r.Quantile(n, 0.999)), n)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	var causes []string
	for _, c := range slices.Sorted(maps.Keys(r.causes)) {
		causes = append(causes, fmt.Sprintf("%s %d", c, r.causes[c]))
	}
	if len(causes) > 0 {
		fmt.Fprintln(out, "causes: "+strings.Join(causes, ", "))
	}
	return nil
}

func formatMs(d time.Duration) string {
	return fmt.Sprintf("%.2f", float64(d)/float64(time.Millisecond))
}

type row struct {
	Kind    string         `json:"kind"`
	Calls   int            `json:"calls"`
	Results map[string]int `json:"results"`
	P50Ms   float64        `json:"p50Ms"`
	P99Ms   float64        `json:"p99Ms"`
	P999Ms  float64        `json:"p999Ms"`
}

// results returns the number of calls of a kind by result.
func (r *Report) results(name string) map[string]int {
	if k := r.kinds[name]; k != nil {
		return k.results
	}
	return map[string]int{}
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(out io.Writer) error {
	var rows []row
	for _, n := range r.Kinds() {
		toMs := func(share float64) float64 { return float64(r.Quantile(n, share)) / float64(time.Millisecond) }
		rows = append(rows, row{Kind: n, Calls: r.Calls(n), Results: r.results(n), P50Ms: toMs(0.5), P99Ms: toMs(0.99), P999Ms: toMs(0.999)})
	}
	return json.NewEncoder(out).Encode(map[string]any{"kinds": rows, "causes": r.causes})
}
