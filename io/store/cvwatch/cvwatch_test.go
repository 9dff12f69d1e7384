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

type recorder struct {
	mu           sync.Mutex
	values       map[string]string
	fullReads    int
	reachability []bool
}

func (r *recorder) recordChange(_ time.Time, full bool, changes comfreyvale.Changes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if full {
		r.fullReads++
		r.values = make(map[string]string)
	}
	for _, c := range changes.Records() {
		r.values[c.Key()] = string(c.Value())
	}
}

func (r *recorder) value(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[key]
}

func (r *recorder) recordReachability(_ time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.reachability) == 0 || r.reachability[len(r.reachability)-1] != ok {
		r.reachability = append(r.reachability, ok)
	}
}

func watch(t *testing.T, directory *cvmemdirectory.Directory) *recorder {
	r := &recorder{values: make(map[string]string)}
	terms := cvterms.New()
	w := &cvwatch.Watch{Directory: directory, Wait: terms.ReadWait(), Pause: terms.ReadPause(), OnChange: r.recordChange, OnReachability: r.recordReachability, Logger: &log.Logger{Handler: discard.Default}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- w.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
		goleak.VerifyNone(t, goleak.IgnoreCurrent())
	})
	return r
}

func (r *recorder) await(t *testing.T, key, value string) {
	t.Helper()
	require.Eventually(t, func() bool { return r.value(key) == value }, 30*time.Second, time.Millisecond)
}

// TestFollows guards against missed changes, also after an outage in which the directory lost its history, and against
// an unreported outage.
func TestFollows(t *testing.T) {
	d := cvmemdirectory.New()
	d.Put("a", []byte("1"))
	r := watch(t, d)
	r.await(t, "a", "1")
	d.Put("a", []byte("2"))
	r.await(t, "a", "2")
	d.SetDown(true)
	require.Eventually(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.reachability) == 2
	}, 30*time.Second, time.Millisecond, "the watch did not report the outage")
	d.Put("a", []byte("3"))
	d.LoseHistory()
	d.SetDown(false)
	r.await(t, "a", "3")
	r.mu.Lock()
	require.Equal(t, []bool{true, false, true}, r.reachability)
	require.Equal(t, 2, r.fullReads)
	r.mu.Unlock()
}

// TestForgottenRead guards against a watch that stops or reports an outage when the service never answers a read.
func TestForgottenRead(t *testing.T) {
	d := cvmemdirectory.New()
	d.Put("a", []byte("1"))
	r := watch(t, d)
	r.await(t, "a", "1")
	require.Eventually(t, func() bool { return d.ReadCount() == 2 }, 30*time.Second, time.Millisecond)
	d.StallWaitingReads()
	d.Put("a", []byte("2"))
	r.await(t, "a", "2")
	r.mu.Lock()
	defer r.mu.Unlock()
	require.Equal(t, []bool{true}, r.reachability, "a single unanswered read was reported as an outage")
}

// TestFewReads guards against too many reads, or none at all, while the directory is down.
func TestFewReads(t *testing.T) {
	d := cvmemdirectory.New()
	d.SetDown(true)
	watch(t, d)
	time.Sleep(3 * time.Second)
	require.LessOrEqual(t, d.ReadCount(), 12, "too many reads during an outage of 3 s")
	require.GreaterOrEqual(t, d.ReadCount(), 1)
}
