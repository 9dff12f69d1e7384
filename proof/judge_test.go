package proof

import (
	"fmt"
	"strings"

	"comfreyvale/io/load/cvreport"
	"comfreyvale/io/standins/cvrun"
)

// checkResult counts orders by what their callers know: answered if one attempt was answered, refusedNotRun if all were
// refused as not run, unknown if one was refused but may have run, and broken otherwise.
type checkResult struct {
	orders, answered, refusedNotRun, unknown, broken int
	violations                                       []string
}

// checkRuns compares the runs that the upstreams recorded with the outcomes that callers got. Violations are wrong
// responses and orders that ran more than once, that ran although they were refused as not run, or that were answered
// but never ran.
func checkRuns(report *cvreport.Report, runs []cvrun.Run) checkResult {
	ranKeys := make(map[string]int)
	ranTags := make(map[string]bool)
	for _, r := range runs {
		if r.Key != "" {
			ranKeys[r.Key]++
			ranTags[r.Tag] = true
		}
	}
	var result checkResult
	for key, count := range ranKeys {
		if count > 1 {
			result.addViolation("order %s ran %d times", key, count)
		}
	}
	for key, all := range report.Outcomes() {
		result.orders++
		answered, unknown, allNotRun := false, false, true
		for _, o := range all {
			answered = answered || o.Result() == cvreport.Answered
			unknown = unknown || (o.Result() == cvreport.Refused && o.Ran() != "no")
			allNotRun = allNotRun && o.Ran() == "no"
			if o.Ran() == "no" && ranTags[o.Tag()] {
				result.addViolation("attempt %s was refused as not run, but ran", o.Tag())
			}
		}
		if allNotRun && ranKeys[key] > 0 {
			result.addViolation("order %s: all attempts were refused as not run, but it ran", key)
		}
		if answered && ranKeys[key] == 0 {
			result.addViolation("order %s was answered, but never ran", key)
		}
		result.countOrder(answered, unknown, allNotRun)
	}
	if wrong := report.Count("all", cvreport.Wrong); wrong > 0 {
		result.addViolation("%d calls got a wrong or incomplete response", wrong)
	}
	return result
}

func (r *checkResult) addViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *checkResult) countOrder(answered, unknown, allNotRun bool) {
	switch {
	case answered:
		r.answered++
	case allNotRun:
		r.refusedNotRun++
	case unknown:
		r.unknown++
	default:
		r.broken++
	}
}

func (r *checkResult) String() string {
	share := func(n int) string { return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(max(r.orders, 1))) }
	text := fmt.Sprintf("%d orders: answered %s, refused as not run %s, unknown %s, broken %s; %d violation(s)",
		r.orders, share(r.answered), share(r.refusedNotRun), share(r.unknown), share(r.broken), len(r.violations))
	if len(r.violations) > 0 {
		text += ": " + strings.Join(r.violations[:min(len(r.violations), 5)], "; ")
	}
	return text
}
