package cvschema

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvfield"
)

const percent = 100

// B is last because it is a suffix of the other units.
var sizeUnits = []struct {
	name  string
	bytes float64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"B", 1},
}

type fault struct{ cvfault.Fault }

func newFault(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

func invalid(format string, args ...any) error {
	return newFault("parse", comfreyvale.KindInvalid, errors.Errorf(format, args...))
}

func describe(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	}
	if n.Tag == "!!null" {
		return "empty"
	}
	return strconv.Quote(n.Value)
}

// checkScalar returns what is wrong with a scalar, or "" if it is valid.
func checkScalar(n *yaml.Node, f cvfield.Field) string {
	if n.Kind != yaml.ScalarNode || n.Tag == "!!null" || n.Tag == "!!binary" {
		return fmt.Sprintf("is %s, allowed is %s", describe(n), allowed(f))
	}
	number, err := parseScalar(f, n.Value)
	if err != nil || !matches(f, n.Value) || !inBounds(f, number) {
		return fmt.Sprintf("is %s, allowed is %s", describe(n), allowed(f))
	}
	return ""
}

func matches(f cvfield.Field, raw string) bool {
	if f.Pattern == "" {
		return true
	}
	matched, err := regexp.MatchString("^(?:"+f.Pattern+")$", raw)
	return err == nil && matched
}

func inBounds(f cvfield.Field, number float64) bool {
	if f.Min != "" {
		if low, err := parseScalar(f, f.Min); err == nil && number < low {
			return false
		}
	}
	if f.Max != "" {
		if high, err := parseScalar(f, f.Max); err == nil && number > high {
			return false
		}
	}
	return true
}

// parseScalar returns the number that a scalar stands for: nanoseconds for a duration, bytes for a size, a fraction for
// a share, 0 or 1 for a flag, and 0 for a text.
func parseScalar(f cvfield.Field, raw string) (float64, error) {
	switch f.Kind {
	case cvfield.Duration:
		d, err := time.ParseDuration(raw)
		return float64(d), err
	case cvfield.Size:
		return parseSize(raw)
	case cvfield.Share:
		return parseShare(raw)
	case cvfield.Count:
		n, err := strconv.ParseInt(raw, 10, 32)
		return float64(n), err
	case cvfield.Number:
		return parseNumber(raw)
	case cvfield.Flag:
		return parseFlag(raw)
	}
	return 0, nil
}

func parseSize(raw string) (float64, error) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(raw, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 32)
		return float64(n) * u.bytes, err
	}
	return 0, errors.New("size has no unit")
}

func parseShare(raw string) (float64, error) {
	digits, ok := strings.CutSuffix(raw, "%")
	if !ok {
		return 0, errors.New("share has no percent sign")
	}
	n, err := parseNumber(digits)
	return n / percent, err
}

func parseNumber(raw string) (float64, error) {
	n, err := strconv.ParseFloat(raw, 64)
	if err == nil && (math.IsNaN(n) || math.IsInf(n, 0)) {
		return 0, errors.New("number is not finite")
	}
	return n, err
}

func parseFlag(raw string) (float64, error) {
	switch raw {
	case "true":
		return 1, nil
	case "false":
		return 0, nil
	}
	return 0, errors.New("flag is neither true nor false")
}

func splitList(raw string) []string {
	if raw == "" {
		return nil
	}
	return strings.Fields(raw)
}

func allowed(f cvfield.Field) string {
	if f.Allowed != "" {
		return f.Allowed
	}
	words := map[string]string{
		cvfield.Text:     "a text",
		cvfield.Texts:    "a list of texts",
		cvfield.Duration: "a duration with unit, like 250ms",
		cvfield.Size:     "a size with unit, like 64MiB",
		cvfield.Share:    "a share, like 5%",
		cvfield.Count:    "a whole number",
		cvfield.Number:   "a number",
		cvfield.Flag:     "true or false",
		cvfield.List:     "a list",
	}[f.Kind]
	if f.Min != "" {
		words += ", at least " + f.Min
	}
	if f.Max != "" {
		words += ", at most " + f.Max
	}
	return words
}
