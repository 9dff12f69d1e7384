package cvschema_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvservice"
)

const good = "service: s\nhost: h.example\ngroup: g\n"

func TestProblems(t *testing.T) {
	cases := map[string]struct{ content, want string }{
		"empty":           {"", "document: is"},
		"not YAML":        {"a: [", "f.yaml:1:1: document: is not YAML"},
		"not UTF-8":       {"service: \xff", "is not UTF-8"},
		"huge":            {good + "# " + strings.Repeat("x", 1<<20), "at most 1048576 are allowed"},
		"a list":          {"- a", "f.yaml:1:1: document: is a list, a mapping of fields is allowed"},
		"unknown field":   {good + "sloots: 3", "f.yaml:4:1: sloots: is unknown, allowed are: service, host"},
		"twice":           {good + "service: t", "f.yaml:4:1: service: is defined twice, first in line 1"},
		"missing":         {"service: s\nhost: h.example", "group: is missing"},
		"wrong kind":      {good + "slots: many", `f.yaml:4:8: slots: is "many", allowed is a whole number, at least 1, at most 1000`},
		"no unit":         {good + "timeout: 250", `timeout: is "250", allowed is a duration with unit`},
		"size unit":       {good + "requestLimit: 1MB", `requestLimit: is "1MB", allowed is a size with unit`},
		"share":           {good + "retryShare: 0.1", `retryShare: is "0.1", allowed is a share`},
		"not a number":    {good + "retryShare: NaN%", "retryShare: is"},
		"out of bounds":   {good + "slots: 0", "slots: is \"0\""},
		"flag":            {good + "requireKey: yes", `requireKey: is "yes", allowed is true or false`},
		"alias":           {good + "classes: &a [*a]", "an alias"},
		"two documents":   {good + "---\n" + good, "more than one YAML document"},
		"item field":      {good + "classes:\n  - name: a\n    methods: [get]", `f.yaml:6:15: classes[0].methods: is "get", allowed is methods in upper case`},
		"item unknown":    {good + "classes:\n  - name: a\n    speed: 1", "classes[0].speed: is unknown"},
		"item missing":    {good + "classes:\n  - methods: [GET]", "classes[0].name: is missing"},
		"not a list":      {good + "classes: 3", `classes: is "3", a list is allowed`},
		"null":            {good + "slots:", "slots: is empty"},
		"complex key":     {good + "? [a]\n: 1", "has a list as a field name"},
		"binary":          {good + "slots: !!binary MQ==", "slots: is"},
		"several at once": {"service: S\nhost: h.example\ngroup: g\nslots: x", "slots: is \"x\""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := cvservice.Parse("f.yaml", []byte(c.content))
			require.ErrorContains(t, err, c.want)
		})
	}
}

func TestValues(t *testing.T) {
	s, err := cvservice.Parse("f.yaml", []byte(good+"slots: 3\ntimeout: 250ms\nretryShare: 5%\nheldAnswerLimit: 64KiB\nclasses:\n  - name: a\n    methods: [GET]\n    pathPrefix: /a/\n"))
	require.NoError(t, err)
	require.Equal(t, 3, s.Slots())
	require.InDelta(t, 0.05, s.RetryShare(), 1e-9)
	require.EqualValues(t, 64<<10, s.HeldAnswerLimit())
	require.Equal(t, "a", s.Class("GET", "/a/1").Name())
	require.Equal(t, "other", s.Class("POST", "/a/1").Name())
	require.Equal(t, 4, s.Setting("slots").Line())
	require.Zero(t, s.Setting("queue").Line())
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte(good + "classes: &a [*a]"))
	f.Add([]byte(good + "classes:\n  - {name: a, methods: [GET], timeout: 3s}\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := cvservice.Parse("f.yaml", content)
		if (s == nil) == (err == nil) {
			t.Fatal("Parse must return either a service or an error, not both or neither")
		}
	})
}
