package cvreader_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"comfreyvale"
	"comfreyvale/core/cvreader"
	"comfreyvale/core/cvverdict"
	"comfreyvale/core/cvwire"
)

// The fixed seed makes runs repeatable; rapid prints it with a failure.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

func file(service string, slots int, base int64) *cvwire.ServiceFile {
	content := fmt.Sprintf("service: %s\nhost: %s.example\ngroup: g\nslots: %d\n", service, service, slots)
	return &cvwire.ServiceFile{Service: service, Path: service + ".yaml", Content: []byte(content), Base: base}
}

func record(t require.TestingT, offset int64, id string, files ...*cvwire.ServiceFile) comfreyvale.Record {
	p := &cvwire.Publication{Id: id, Author: "author of " + id, Revision: "r-" + id, Files: files}
	body, err := proto.Marshal(&cvwire.ConfigurationRecord{Record: &cvwire.ConfigurationRecord_Publication{Publication: p}})
	require.NoError(t, err)
	return comfreyvale.NewRecord(offset, body)
}

func checkpoint(t require.TestingT, offset int64, c *cvwire.Checkpoint) comfreyvale.Record {
	body, err := proto.Marshal(&cvwire.ConfigurationRecord{Record: &cvwire.ConfigurationRecord_Checkpoint{Checkpoint: c}})
	require.NoError(t, err)
	return comfreyvale.NewRecord(offset, body)
}

// slots returns the slots of a service in the configuration in force, or 0 for an unknown service.
func slots(r *cvreader.Reader, service string) int {
	s, ok := r.Configuration().Match(service+".example", "/")
	if !ok {
		return 0
	}
	return s.Slots()
}

// lastWins models a reader that accepts every publication. It maps each service to the offset of the last one.
type lastWins map[string]int64

func (l lastWins) apply(offset int64, files []*cvwire.ServiceFile) {
	for _, f := range files {
		l[f.GetService()] = offset
	}
}

// TestConflicts guards against a publication that overwrites one its author has not seen, and against a record that
// takes effect twice because its append was repeated.
func TestConflicts(t *testing.T) {
	cases := map[string]struct {
		records []comfreyvale.Record
		results []string
		slots   int
	}{
		"first of two wins": {
			records: []comfreyvale.Record{record(t, 1, "a", file("s", 2, 0)), record(t, 2, "b", file("s", 3, 0))},
			results: []string{cvverdict.Accepted, cvverdict.Conflict}, slots: 2,
		},
		"made from the last": {
			records: []comfreyvale.Record{record(t, 1, "a", file("s", 2, 0)), record(t, 2, "b", file("s", 3, 1))},
			results: []string{cvverdict.Accepted, cvverdict.Accepted}, slots: 3,
		},
		"appended twice counts once": {
			records: []comfreyvale.Record{record(t, 1, "a", file("s", 2, 0)), record(t, 2, "b", file("s", 3, 1)), record(t, 3, "a", file("s", 2, 0))},
			results: []string{cvverdict.Accepted, cvverdict.Accepted, cvverdict.Conflict}, slots: 3,
		},
		"removal is not undone by an old record": {
			records: []comfreyvale.Record{
				record(t, 1, "a", file("s", 2, 0)),
				record(t, 2, "b", &cvwire.ServiceFile{Service: "s", Base: 1, Removed: true}),
				record(t, 3, "a", file("s", 2, 0)),
			},
			results: []string{cvverdict.Accepted, cvverdict.Accepted, cvverdict.Conflict}, slots: 0,
		},
		"a broken file changes nothing": {
			records: []comfreyvale.Record{record(t, 1, "a", file("s", 2, 0)), record(t, 2, "b", file("s", -1, 1))},
			results: []string{cvverdict.Accepted, cvverdict.Invalid}, slots: 2,
		},
		"one conflict refuses the whole": {
			records: []comfreyvale.Record{record(t, 1, "a", file("s", 2, 0)), record(t, 2, "b", file("s", 3, 0), file("o", 1, 0))},
			results: []string{cvverdict.Accepted, cvverdict.Conflict}, slots: 2,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := cvreader.New()
			for i, rec := range c.records {
				verdict, err := r.Apply(rec)
				require.NoError(t, err)
				require.Equal(t, c.results[i], verdict.Result(), verdict.Reason())
			}
			require.Equal(t, c.slots, slots(r, "s"))
		})
	}
}

// TestAgreement guards against balancers that disagree about the configuration or return to an older one, when old
// checkpoints and publications with old bases are appended in random order. In at least one run, the result must differ
// from that of lastWins; otherwise the test does not show that readers reject conflicts.
func TestAgreement(t *testing.T) {
	overwritten := 0
	rapid.Check(t, func(t *rapid.T) {
		reference := cvreader.New()
		last := lastWins{}
		var records []comfreyvale.Record
		var states []*cvwire.Checkpoint
		count := rapid.IntRange(1, 25).Draw(t, "records")
		for offset := int64(1); offset <= int64(count); offset++ {
			states = append(states, reference.Checkpoint())
			var rec comfreyvale.Record
			if rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
				// A writer that was paused can append an old checkpoint.
				rec = checkpoint(t, offset, states[rapid.IntRange(0, len(states)-1).Draw(t, "age")])
			} else {
				service := rapid.SampledFrom([]string{"s", "o"}).Draw(t, "service")
				base := reference.Base(service)
				if rapid.Bool().Draw(t, "old base") {
					base = max(0, base-1)
				}
				f := file(service, int(offset), base)
				rec = record(t, offset, fmt.Sprint(offset), f)
				last.apply(offset, []*cvwire.ServiceFile{f})
			}
			records = append(records, rec)
			before := reference.Generation()
			_, err := reference.Apply(rec)
			require.NoError(t, err)
			require.GreaterOrEqual(t, reference.Generation(), before)
		}
		for service, offset := range last {
			if reference.Base(service) != offset {
				overwritten++
			}
		}
		first := int64(rapid.IntRange(1, count).Draw(t, "first kept"))
		lateReader := cvreader.New()
		if first > 1 {
			recovered, err := lateReader.Recover(comfreyvale.NewBatch(first, int64(count)+1, records[first-1:]))
			require.NoError(t, err)
			if !recovered {
				require.Zero(t, lateReader.Generation(), "a reader without a usable checkpoint must have no configuration")
				return
			}
		}
		for _, rec := range records[lateReader.NextOffset()-1:] {
			_, err := lateReader.Apply(rec)
			require.NoError(t, err)
		}
		require.True(t, proto.Equal(reference.Checkpoint(), lateReader.Checkpoint()))
		old := states[rapid.IntRange(0, len(states)-1).Draw(t, "peer's state")]
		restored, err := lateReader.Restore(old)
		require.NoError(t, err)
		require.False(t, restored, "the checkpoint of a peer that lags must not replace a newer configuration")
	})
	require.NotZero(t, overwritten, "in some run, the reader must differ from one that accepts every publication")
}
