// Package cvreport is what the load tool measured.
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

// The results that a call can have for its caller.
const (
	// Answered is a whole answer of its own.
	Answered = "answered"
	// Refused is an answer that says that the call was refused.
	Refused = "refused"
	// Broken is no whole answer.
	Broken = "broken"
	// Wrong is an answer that belongs to another call or is not whole.
	Wrong = "wrong"
	// NotSent is a call that the load tool had no room for.
	NotSent = "notSent"
)

const (
	lowestLatency  = 1
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of the latencies.
	significantDigits = 3
)

// Report holds counts and latencies by kind of call, and what keyed callers were told.
type Report struct {
	kinds  map[string]*kind
	told   map[string][]cvoutcome.Outcome
	causes map[string]int
}

type kind struct {
	latencies *hdrhistogram.Histogram
	results   map[string]int
}

// New returns an empty report.
func New() *Report {
	return &Report{kinds: make(map[string]*kind), told: make(map[string][]cvoutcome.Outcome), causes: make(map[string]int)}
}

// Add counts a call with its latency.
func (r *Report) Add(name, result string, latency time.Duration) {
	for _, n := range []string{name, "all"} {
		k := r.kinds[n]
		if k == nil {
			k = &kind{latencies: hdrhistogram.New(lowestLatency, highestLatency, significantDigits), results: make(map[string]int)}
			r.kinds[n] = k
		}
		k.results[result]++
		if result == Answered {
			// The value is within the histogram's bounds, so that it is always taken.
			_ = k.latencies.RecordValue(min(max(latency.Microseconds(), lowestLatency), highestLatency))
		}
	}
}

// AddOutcome notes what the caller of a keyed call was told.
func (r *Report) AddOutcome(key string, told cvoutcome.Outcome) {
	r.told[key] = append(r.told[key], told)
}

// AddCause counts a refusal's cause.
func (r *Report) AddCause(name, cause string) { r.causes[name+": "+cause]++ }

// Outcomes returns what each keyed caller was told, in order.
func (r *Report) Outcomes() map[string][]cvoutcome.Outcome { return r.told }

// Count is the number of calls of a kind with a result; the kind "all" counts every call.
func (r *Report) Count(name, result string) int {
	k := r.kinds[name]
	if k == nil {
		return 0
	}
	return k.results[result]
}

// Calls is the number of calls of a kind.
func (r *Report) Calls(name string) int {
	total := 0
	if k := r.kinds[name]; k != nil {
		for _, n := range k.results {
			total += n
		}
	}
	return total
}

// Quantile is the latency that a share of the answered calls of a kind stayed below.
func (r *Report) Quantile(name string, share float64) time.Duration {
	k := r.kinds[name]
	if k == nil {
		return 0
	}
	return time.Duration(k.latencies.ValueAtQuantile(share*100)) * time.Microsecond
}

// Kinds are the kinds in order, with "all" last.
func (r *Report) Kinds() []string {
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(r.kinds)), func(n string) bool { return n == "all" })
	return append(names, "all")
}

// Write prints a table.
func (r *Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "calls\tanswered\trefused\tbroken\twrong\tnotSent\tp50 ms\tp99 ms\tp99.9 ms\t\t")
	for _, n := range r.Kinds() {
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t\n", r.Calls(n), r.Count(n, Answered), r.Count(n, Refused), r.Count(n, Broken),
			r.Count(n, Wrong), r.Count(n, NotSent), ms(r.Quantile(n, 0.5)), ms(r.Quantile(n, 0.99)), ms(r.Quantile(n, 0.999)), n)
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

func ms(d time.Duration) string { return fmt.Sprintf("%.2f", float64(d)/float64(time.Millisecond)) }

// row is one kind as programs read it.
type row struct {
	Kind    string         `json:"kind"`
	Calls   int            `json:"calls"`
	Results map[string]int `json:"results"`
	P50Ms   float64        `json:"p50Ms"`
	P99Ms   float64        `json:"p99Ms"`
	P999Ms  float64        `json:"p999Ms"`
}

// WriteJSON prints the same for programs.
func (r *Report) WriteJSON(out io.Writer) error {
	var rows []row
	for _, n := range r.Kinds() {
		toMs := func(share float64) float64 { return float64(r.Quantile(n, share)) / float64(time.Millisecond) }
		rows = append(rows, row{Kind: n, Calls: r.Calls(n), Results: r.kinds[n].results, P50Ms: toMs(0.5), P99Ms: toMs(0.99), P999Ms: toMs(0.999)})
	}
	return json.NewEncoder(out).Encode(map[string]any{"kinds": rows, "causes": r.causes})
}
