package soak

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	first     = flag.Uint64("first", 1, "the first seed")
	seeds     = flag.Uint64("seeds", 1, "the number of seeds")
	length    = flag.Duration("length", 8*time.Second, "how long faults are played for each seed")
	balancers = flag.Int("balancers", 3, "the number of balancers of each seed")
	keep      = flag.Bool("keep", false, "keep the balancers' lines also when no promise was broken")
	binary    string
	regress   = map[uint64]string{
		16:  "a signal in the last moments of a planned stop ended the process",
		120: "a balancer that had read nothing yet told another one that all upstreams were gone",
	}
)

// lanes is how many faults are played beside each other.
const lanes = 3

func TestMain(m *testing.M) {
	flag.Parse()
	directory, err := os.MkdirTemp("", "soak-build")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(directory, "comfreyvale")
	if out, err := exec.Command("go", "build", "-o", binary, "comfreyvale/cmd/comfreyvale").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s\n", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(directory)
	os.Exit(code)
}

// TestSoak plays drawn faults, overlapping and in series, and checks the promises: answers are whole and their own, what may
// run once does, what is said not to have run did not, further tries keep to their budget, planned stops cut nothing, no
// version that was replaced comes back, and when the faults are over everything works by itself.
func TestSoak(t *testing.T) {
	all := maps.Clone(regress)
	for seed := *first; seed < *first+*seeds; seed++ {
		all[seed] = cmp.Or(all[seed], "drawn")
	}
	for i, seed := range slices.Sorted(maps.Keys(all)) {
		t.Run(fmt.Sprintf("seed %d, %s", seed, all[seed]), func(t *testing.T) {
			t.Parallel()
			play(t, seed, 20+i%200)
		})
	}
}

func play(t *testing.T, seed uint64, subnet int) {
	w := newWorld(t, seed, subnet)
	n := &notes{statuses: make(map[int]int)}
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i := range clientCount {
		c := &client{w: w, n: n, number: i, draws: rand.New(rand.NewPCG(seed, uint64(100+i)))}
		clients.Go(func() { c.run(ctx) })
	}
	for _, b := range w.balancers {
		clients.Go(func() { n.watchVersions(ctx, w, b) })
	}
	w.faults(n)
	w.recovers()
	stop()
	clients.Wait()
	n.settle(w, time.Since(w.began))
	t.Logf("seed %d: statuses %v, %d cut by kills, %d closed by planned stops, %d versions", seed, n.statuses, n.cut, len(n.unanswered), w.newest())
	if len(n.violations) > 0 {
		t.Errorf("seed %d:\n%s", seed, strings.Join(n.violations[:min(len(n.violations), 20)], "\n"))
	}
	if n.statuses[http.StatusOK] == 0 {
		t.Error("nobody was served, which proves nothing")
	}
}

// faults plays all lanes.
func (w *world) faults(n *notes) {
	p := newPlayer(w, n)
	ctx, stop := context.WithTimeout(context.Background(), *length)
	defer stop()
	names := slices.Sorted(maps.Keys(faults))
	var playing sync.WaitGroup
	for lane := range uint64(lanes) {
		draws := rand.New(rand.NewPCG(w.seed, lane))
		playing.Go(func() { p.lane(ctx, names, draws) })
	}
	playing.Wait()
}

// recovers waits until everything works again without help: each balancer serves, the newest version is in force, and an
// upstream that leaves gets nothing.
func (w *world) recovers() {
	w.publish()
	for _, b := range w.balancers {
		w.await(b.name+" is ready", b.isReady)
		w.await(b.name+" serves the newest version", func() bool { return b.probe(only(w.newest()), "") == http.StatusOK })
		w.await(b.name+" serves all", func() bool { return b.probe("/safe/x", "") == http.StatusOK && b.probe("/once/x", "") == http.StatusOK })
	}
	leaving := w.upstream(0)
	w.addUpstream()
	w.addUpstream()
	w.drain(leaving)
	w.await("a leaving upstream gets nothing", func() bool {
		before := leaving.TotalRuns()
		time.Sleep(500 * time.Millisecond)
		return leaving.TotalRuns() == before
	})
}

// TestSignalsUntilTheEnd sends signals all through a planned stop, until the process is gone: it ends in order all the same.
func TestSignalsUntilTheEnd(t *testing.T) {
	w := newWorld(t, 0, 19)
	for _, b := range w.balancers {
		b.signal(syscall.SIGTERM)
		for l := b.now(); ; {
			b.signal(syscall.SIGHUP)
			b.signal(syscall.SIGTERM)
			select {
			case <-l.done:
			default:
				continue
			}
			break
		}
		if state := b.ended(); !state.Success() {
			t.Errorf("%s ended a planned stop with %s", b.name, state)
		}
	}
}
