package cvwatch_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"comfreyvale"
	"comfreyvale/core/cvterms"
	"comfreyvale/io/standins/cvmemdirectory"
	"comfreyvale/io/store/cvwatch"
)

// seen is what a watch told.
type seen struct {
	mu      sync.Mutex
	values  map[string]string
	wholes  int
	reached []bool
}

func (s *seen) changed(_ time.Time, whole bool, changes comfreyvale.Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if whole {
		s.wholes++
		s.values = make(map[string]string)
	}
	for _, c := range changes.Records() {
		s.values[c.Key()] = string(c.Value())
	}
}

func (s *seen) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

func (s *seen) noteReached(_ time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reached) == 0 || s.reached[len(s.reached)-1] != ok {
		s.reached = append(s.reached, ok)
	}
}

func watch(t *testing.T, directory *cvmemdirectory.Directory) *seen {
	s := &seen{values: make(map[string]string)}
	terms := cvterms.New()
	w := &cvwatch.Watch{Directory: directory, Wait: terms.ReadWait(), Pause: terms.ReadPause(), OnChange: s.changed, OnReachability: s.noteReached, Logger: &log.Logger{Handler: discard.Default}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- w.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
		goleak.VerifyNone(t, goleak.IgnoreCurrent())
	})
	return s
}

func (s *seen) await(t *testing.T, key, value string) {
	t.Helper()
	require.Eventually(t, func() bool { return s.value(key) == value }, 30*time.Second, time.Millisecond)
}

// TestFollows hears of changes, also after outages and lost history.
func TestFollows(t *testing.T) {
	d := cvmemdirectory.New()
	d.Put("a", []byte("1"))
	s := watch(t, d)
	s.await(t, "a", "1")
	d.Put("a", []byte("2"))
	s.await(t, "a", "2")
	d.SetDown(true)
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.reached) == 2
	}, 30*time.Second, time.Millisecond, "the outage was not told")
	d.Put("a", []byte("3"))
	d.LoseHistory()
	d.SetDown(false)
	s.await(t, "a", "3")
	s.mu.Lock()
	require.Equal(t, []bool{true, false, true}, s.reached)
	require.Equal(t, 2, s.wholes)
	s.mu.Unlock()
}

// TestForgottenRead goes on reading when the service forgets a read that waits.
func TestForgottenRead(t *testing.T) {
	d := cvmemdirectory.New()
	d.Put("a", []byte("1"))
	s := watch(t, d)
	s.await(t, "a", "1")
	require.Eventually(t, func() bool { return d.Reads() == 2 }, 30*time.Second, time.Millisecond)
	d.ForgetReads()
	d.Put("a", []byte("2"))
	s.await(t, "a", "2")
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Equal(t, []bool{true}, s.reached, "one forgotten read is no outage")
}

// TestFewReads keeps to a few reads, in an outage too.
func TestFewReads(t *testing.T) {
	d := cvmemdirectory.New()
	d.SetDown(true)
	watch(t, d)
	time.Sleep(3 * time.Second)
	require.LessOrEqual(t, d.Reads(), 12, "an outage of 3 s took too many reads")
	require.GreaterOrEqual(t, d.Reads(), 1)
}
