package proof

import (
	"fmt"
	"strings"

	"comfreyvale/io/load/cvreport"
	"comfreyvale/io/standins/cvrun"
)

// verdict is what the judge found in one run.
type verdict struct {
	orders, answered, no, unknown, broken int
	violations                            []string
}

// judge compares what ran on the upstreams with what each caller was told.
func judge(report *cvreport.Report, runs []cvrun.Run) verdict {
	ranKeys := make(map[string]int)
	ranTags := make(map[string]bool)
	for _, r := range runs {
		if r.Key != "" {
			ranKeys[r.Key]++
			ranTags[r.Tag] = true
		}
	}
	var v verdict
	for key, count := range ranKeys {
		if count > 1 {
			v.violate("%s ran %d times", key, count)
		}
	}
	for key, all := range report.Outcomes() {
		v.orders++
		answered, unknown, allNo := false, false, true
		for _, told := range all {
			answered = answered || told.Result() == cvreport.Answered
			unknown = unknown || (told.Result() == cvreport.Refused && told.Ran() != "no")
			allNo = allNo && told.Ran() == "no"
			if told.Ran() == "no" && ranTags[told.Tag()] {
				v.violate("%s was told that it was not run, but ran", told.Tag())
			}
		}
		if allNo && ranKeys[key] > 0 {
			v.violate("%s was told each time that it was not run, but ran", key)
		}
		if answered && ranKeys[key] == 0 {
			v.violate("%s was answered, but never ran", key)
		}
		v.count(answered, unknown, allNo)
	}
	if wrong := report.Count("all", cvreport.Wrong); wrong > 0 {
		v.violate("%d callers got a wrong or partial answer", wrong)
	}
	return v
}

func (v *verdict) violate(format string, args ...any) {
	v.violations = append(v.violations, fmt.Sprintf(format, args...))
}

func (v *verdict) count(answered, unknown, allNo bool) {
	switch {
	case answered:
		v.answered++
	case allNo:
		v.no++
	case unknown:
		v.unknown++
	default:
		v.broken++
	}
}

func (v *verdict) String() string {
	share := func(n int) string { return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(max(v.orders, 1))) }
	text := fmt.Sprintf("%d orders: answered %s, refused as not run %s, unknown %s, broken %s; %d violation(s)",
		v.orders, share(v.answered), share(v.no), share(v.unknown), share(v.broken), len(v.violations))
	if len(v.violations) > 0 {
		text += ": " + strings.Join(v.violations[:min(len(v.violations), 5)], "; ")
	}
	return text
}
