package cvshareddirectory_test

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"comfreyvale"
	"comfreyvale/io/standins/cvmemdirectory"
	"comfreyvale/io/store/cvshareddirectory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// state is what the directory under test is told of the other balancers, and what it tells.
type state struct {
	reader  bool
	covered bool
	ahead   string
	fetched error
	tried   []bool
}

func (s *state) directory(own comfreyvale.Directory) *cvshareddirectory.Directory {
	return &cvshareddirectory.Directory{
		Source: own, Logger: &log.Logger{Handler: discard.Default},
		IsReader: func(time.Time) bool { return s.reader },
		Ahead:    func(time.Time, int64) (string, bool) { return s.ahead, s.covered },
		Fetch: func(_ context.Context, address string, from int64) (comfreyvale.Changes, error) {
			return comfreyvale.NewChanges([]comfreyvale.Change{comfreyvale.NewChange("of", []byte(address), from)}, from+1), s.fetched
		},
		OnRead: func(_ time.Time, err error) {
			s.tried = append(s.tried, err == nil)
		},
	}
}

// TestFollow takes records from the platform or from another balancer, by whose task reading is and who is ahead. Waiting is
// without end, so that an answer that was to come from elsewhere never comes.
func TestFollow(t *testing.T) {
	cases := map[string]struct {
		state state
		// written says that the platform has the record; else its read is never answered.
		written bool
		from    string
		tried   []bool
	}{
		"reader":                          {state: state{reader: true, covered: true}, written: true, from: "platform", tried: []bool{true}},
		"nobody reads":                    {state: state{}, written: true, from: "platform", tried: []bool{true}},
		"another reads":                   {state: state{covered: true, ahead: "peer"}, from: "peer"},
		"another's records cannot be had": {state: state{covered: true, ahead: "peer", fetched: errors.New("gone")}, written: true, from: "platform", tried: []bool{true}},
		"reader, its answer is lost":      {state: state{reader: true, covered: true, ahead: "peer"}, from: "peer", tried: []bool{false}},
		"nobody's task, answer is lost":   {state: state{ahead: "peer"}, from: "peer", tried: []bool{false}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			own := cvmemdirectory.New()
			if c.written {
				own.Put("of", []byte("platform"))
			}
			changes, err := c.state.directory(own).Follow(context.Background(), 0, time.Hour)
			require.NoError(t, err)
			require.Len(t, changes.Records(), 1)
			require.Equal(t, c.from, string(changes.Records()[0].Value()))
			require.Equal(t, c.tried, c.state.tried)
		})
	}
}

// TestOnRead tells of refused reads, but takes the answer that records are gone for an answer.
func TestOnRead(t *testing.T) {
	s := &state{reader: true}
	own := cvmemdirectory.New()
	own.Put("a", []byte("1"))
	own.LoseHistory()
	_, err := s.directory(own).Follow(context.Background(), 0, 0)
	require.Error(t, err)
	own.SetDown(true)
	_, err = s.directory(own).Follow(context.Background(), 0, 0)
	require.Error(t, err)
	_, err = s.directory(own).Newest(context.Background())
	require.Error(t, err)
	require.Equal(t, []bool{true, false, false}, s.tried)
	ended, end := context.WithCancel(context.Background())
	end()
	_, err = s.directory(own).Newest(ended)
	require.Error(t, err)
	require.Len(t, s.tried, 3, "a read that ended with the process")
}
