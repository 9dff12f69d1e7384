package cvhomes_test

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"comfreyvale/core/cvview"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/operators/cvlogger"
	"comfreyvale/io/operators/cvmetrics"
	"comfreyvale/io/peers/cvhomes"
	"comfreyvale/io/peers/cvpeers"
	"comfreyvale/io/standins/cvmemlog"
)

func members(names ...string) []*cvwire.Member {
	var all []*cvwire.Member
	for _, n := range names {
		all = append(all, &cvwire.Member{Incarnation: n, Process: n})
	}
	return all
}

// takingOver reports whether any takeover is running.
func takingOver() bool {
	stacks := make([]byte, 1<<20)
	return strings.Contains(string(stacks[:runtime.Stack(stacks, true)]), "takeOver(")
}

// TestStopsTakingOver guards against a takeover that keeps asking an unreachable member after the balancer has stopped
// being a home.
func TestStopsTakingOver(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h := &cvhomes.Homes{
		Process: "self", Log: &cvmemlog.Log{}, Peers: &cvpeers.Peers{Process: "self"}, Metrics: cvmetrics.New(),
		Logger:        (&cvlogger.Options{Out: io.Discard}).New(),
		LongestWindow: func() time.Duration { return time.Minute }, OnJournalSealed: func(context.Context, string) {},
	}
	go h.Run(ctx)
	time.Sleep(20 * time.Millisecond)
	h.SetView(cvview.New(1, members("self", "other"), nil), "self")
	require.Eventually(t, takingOver, 10*time.Second, time.Millisecond)
	names := []string{"self"}
	for i := 0; ; i++ {
		names = append(names, fmt.Sprintf("other-%d", i))
		view := cvview.New(2, members(names...), nil)
		if !contains(view.Homes(), "self") {
			h.SetView(view, "self")
			break
		}
	}
	require.Eventually(t, func() bool { return !takingOver() }, 10*time.Second, 10*time.Millisecond)
}

func contains(names []string, name string) bool {
	return strings.Contains(" "+strings.Join(names, " ")+" ", " "+name+" ")
}

// TestViewBeforeRun guards against goroutines that outlive Run if SetView was called before it, as happens when the
// roster is read first.
func TestViewBeforeRun(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	h := &cvhomes.Homes{
		Process: "self", Log: &cvmemlog.Log{}, Peers: &cvpeers.Peers{Process: "self"}, Metrics: cvmetrics.New(),
		Logger:        (&cvlogger.Options{Out: io.Discard}).New(),
		LongestWindow: func() time.Duration { return time.Minute }, OnJournalSealed: func(context.Context, string) {},
	}
	h.SetView(cvview.New(1, members("self"), nil), "self")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, h.Run(ctx))
}
