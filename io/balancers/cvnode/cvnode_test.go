package cvnode_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"comfreyvale"
	"comfreyvale/io/peers/cvrelay"
	"comfreyvale/io/standins/cvfaulty"
	"comfreyvale/io/standins/cvmemdirectory"
)

func safe(group string) testRoute {
	return testRoute{Prefix: "/safe/", Idempotent: true, Timeout: time.Second, Attempts: 2, Splits: map[string]float64{group: 1}}
}

func once(group string) testRoute {
	return testRoute{Prefix: "/once/", Timeout: time.Second, Attempts: 2, Splits: map[string]float64{group: 1}}
}

// TestFailures plays one failure of an upstream, beside a good one, on each kind of route: what may run twice is tried
// again, what may run once is not, and what is called not run was not.
func TestFailures(t *testing.T) {
	cases := map[string]struct {
		mode       string
		safe, once int
		onceRan    int
	}{
		"whole":                 {mode: cvfaulty.Whole, safe: 200, once: 200, onceRan: 1},
		"refuses":               {mode: cvfaulty.Refuses, safe: 200, once: 200, onceRan: 1},
		"resets":                {mode: cvfaulty.Reset, safe: 200, once: 502, onceRan: 1},
		"cuts":                  {mode: cvfaulty.Cut, safe: 200, once: 502, onceRan: 1},
		"sends garbage":         {mode: cvfaulty.Garbage, safe: 200, once: 502, onceRan: 1},
		"fails":                 {mode: cvfaulty.Fails, safe: 200, once: 500, onceRan: 1},
		"is silent":             {mode: cvfaulty.Silent, safe: 504, once: 504, onceRan: 1},
		"answers somebody else": {mode: cvfaulty.Stranger, safe: 504, once: 504, onceRan: 1},
		"answers twice":         {mode: cvfaulty.Twice, safe: 200, once: 200, onceRan: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			bad, good := d.server("bad", "g"), d.server("good", "g")
			d.publish(1, safe("g"), once("g"))
			n := d.node()
			n.awaitReady(t)
			n.serves(t, "/safe/warm", http.StatusOK)
			for kind, expected := range map[string]int{"safe": c.safe, "once": c.once} {
				for tries := 0; bad.Ran(kind+strconv.Itoa(tries-1)) == 0 && tries < 40; tries++ {
					bad.SetMode(c.mode, false)
					id := kind + strconv.Itoa(tries)
					before := bad.Total()
					response, body := n.ask(t, http.MethodPost, "/"+kind+"/x", id, 3000)
					bad.SetMode(cvfaulty.Whole, false)
					require.LessOrEqual(t, bad.Ran(id)+good.Ran(id), 2)
					if kind == "once" {
						require.LessOrEqual(t, bad.Ran(id)+good.Ran(id), 1, "an order ran twice")
					}
					if response.StatusCode == http.StatusServiceUnavailable {
						require.Zero(t, bad.Ran(id)+good.Ran(id), "said not to have run")
					}
					if response.StatusCode == http.StatusOK {
						require.Equal(t, "answer to "+id, body)
					}
					if bad.Total() > before {
						require.Equal(t, expected, response.StatusCode, "%s: %v", kind, n.lines.about(id))
					}
				}
			}
		})
	}
}

// TestNoConfiguration answers 503, and never 404, while no routes are known.
func TestNoConfiguration(t *testing.T) {
	d := newDeployment(t)
	d.server("a", "g")
	n := d.node()
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + n.ready + "/ready")
		return err == nil && response.Body.Close() == nil
	}, 30*time.Second, 5*time.Millisecond)
	require.False(t, n.isReady())
	response, _ := n.ask(t, http.MethodGet, "/safe/x", "1", 1000)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	d.publish(1, safe("g"))
	n.awaitReady(t)
	n.serves(t, "/safe/x", http.StatusOK)
	response, _ = n.ask(t, http.MethodGet, "/else/x", "2", 1000)
	require.Equal(t, http.StatusNotFound, response.StatusCode)
}

// TestConfigurationNeverGoesBack passes over older, equal and unreadable records, also when everything is read again.
func TestConfigurationNeverGoesBack(t *testing.T) {
	d := newDeployment(t)
	d.server("a", "g")
	d.publish(5, safe("g"))
	n := d.node()
	n.awaitReady(t)
	d.publish(9, once("g"))
	n.serves(t, "/once/x", http.StatusOK)
	d.publish(7, safe("g"))
	d.routes.LoseHistory()
	d.routes.Put("routes", []byte("no configuration"))
	d.routes.Put("other", []byte("{}"))
	d.publish(10, once("g"), testRoute{Prefix: "/new/", Idempotent: true, Timeout: time.Second, Attempts: 1, Splits: map[string]float64{"g": 1}})
	for seen := false; !seen; {
		response, _ := n.ask(t, http.MethodGet, "/safe/x", "s", 1000)
		require.Equal(t, http.StatusNotFound, response.StatusCode)
		response, _ = n.ask(t, http.MethodGet, "/new/x", "n", 1000)
		seen = response.StatusCode == http.StatusOK
	}
}

// TestLeaving gives no new work to an upstream that drains or is gone, and none to an entry that cannot be read.
func TestLeaving(t *testing.T) {
	d := newDeployment(t)
	a, b := d.server("a", "g"), d.server("b", "g")
	d.upstreams.Put("broken", []byte("g"))
	d.publish(1, safe("g"))
	n := d.node()
	n.awaitReady(t)
	d.enter("a", "g", true, 2)
	require.Eventually(t, func() bool {
		before := a.Total()
		for i := range 10 {
			id := fmt.Sprint("d", i)
			response, _ := n.ask(t, http.MethodGet, "/safe/x", id, 1000)
			require.Equal(t, http.StatusOK, response.StatusCode, "%v", n.lines.whole(id))
		}
		return a.Total() == before
	}, 30*time.Second, time.Millisecond)
	d.upstreams.Put("b", nil)
	require.Eventually(t, func() bool {
		response, _ := n.ask(t, http.MethodGet, "/safe/x", "none", 1000)
		return response.StatusCode == http.StatusServiceUnavailable
	}, 30*time.Second, time.Millisecond)
	require.Positive(t, b.Total())
}

// TestChangeLines writes one line for an upstream that comes or begins to leave, and none for a report that changes nothing.
func TestChangeLines(t *testing.T) {
	d, _, n := serving(t, safe("g"))
	before := n.lines.count("upstreams changed")
	for sequence := range int64(3) {
		reads := d.upstreams.Reads()
		d.enter("a", "g", false, sequence+2)
		require.Eventually(t, func() bool { return d.upstreams.Reads() > reads }, 30*time.Second, time.Millisecond)
	}
	d.server("b", "g")
	require.Eventually(t, func() bool { return n.lines.count("upstreams changed") > before }, 30*time.Second, time.Millisecond)
	require.Equal(t, before+1, n.lines.count("upstreams changed"))
}

// TestTimeout gives the final answer at the route's timeout or the caller's, whichever comes first, and ends the work.
func TestTimeout(t *testing.T) {
	_, u, n := serving(t, testRoute{Prefix: "/safe/", Idempotent: true, Timeout: 400 * time.Millisecond, Attempts: 2, Splits: map[string]float64{"g": 1}})
	u.SetMode(cvfaulty.Silent, false)
	for name, milliseconds := range map[string]int{"route": 5000, "caller": 200} {
		began := time.Now()
		response, _ := n.ask(t, http.MethodGet, "/safe/x", name, milliseconds)
		require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
		require.Less(t, time.Since(began), 5*time.Second, "the deadline of neither was kept")
	}
	require.Eventually(t, func() bool { return u.Open() == 0 }, 30*time.Second, time.Millisecond, "work goes on for nobody")
}

// TestWeights sends each group its share, also when one of them has no room.
func TestWeights(t *testing.T) {
	d := newDeployment(t)
	a, b := d.server("a", "g"), d.server("b", "i")
	d.publish(1, testRoute{Prefix: "/safe/", Idempotent: true, Timeout: time.Second, Attempts: 1, Splits: map[string]float64{"g": 3, "i": 1, "empty": 1}})
	n := d.node()
	n.awaitReady(t)
	n.serves(t, "/safe/warm", http.StatusOK)
	beforeA, beforeB, refused := a.Total(), b.Total(), 0
	for i := range 100 {
		response, _ := n.ask(t, http.MethodGet, "/safe/x", fmt.Sprint(i), 1000)
		if response.StatusCode == http.StatusServiceUnavailable {
			refused++
		}
	}
	require.InDelta(t, 60, a.Total()-beforeA, 1)
	require.InDelta(t, 20, b.Total()-beforeB, 1)
	require.InDelta(t, 20, refused, 1)
}

// TestStop is not ready at once, answers what it has read, and ends in order.
func TestStop(t *testing.T) {
	_, u, n := serving(t, safe("g"))
	u.SetMode(cvfaulty.Whole, false)
	n.stop()
	require.Eventually(t, func() bool { return !n.isReady() }, 30*time.Second, time.Millisecond)
	response, _ := n.ask(t, http.MethodGet, "/safe/x", "late", 1000)
	require.Equal(t, http.StatusOK, response.StatusCode, "new connections are served until the platform has noticed")
	require.True(t, response.Close)
	err := <-n.done
	n.done <- err
	require.NoError(t, err)
}

// TestLinesOfARequest finds the lines of a request by its id.
func TestLinesOfARequest(t *testing.T) {
	_, u, n := serving(t, safe("g"), once("g"))
	cases := map[string]struct {
		mode  string
		lines []string
	}{
		"answered":  {cvfaulty.Whole, []string{"request"}},
		"uncertain": {cvfaulty.Reset, []string{"try failed", "request"}},
		"refused":   {cvfaulty.Refuses, []string{"try failed", "refused", "request"}},
		"late":      {cvfaulty.Silent, []string{"try failed", "request"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			u.SetMode(c.mode, false)
			n.ask(t, http.MethodPost, "/once/x", name, 500)
			require.Equal(t, c.lines, n.lines.about(name))
		})
	}
}

// TestReadLines writes a line when a balancer can no longer read, which others may hide, and one when it can again.
func TestReadLines(t *testing.T) {
	d := newDeployment(t)
	d.server("a", "g")
	d.publish(1, safe("g"))
	n := d.node()
	n.awaitReady(t)
	for round := 1; round <= 2; round++ {
		d.routes.SetDown(true)
		require.Eventually(t, func() bool { return n.lines.count("own read failed") == round }, 30*time.Second, time.Millisecond)
		d.routes.SetDown(false)
		require.Eventually(t, func() bool { return n.lines.count("own reads work again") == round }, 30*time.Second, time.Millisecond)
	}
}

// TestExpiredOnArrival sends nothing for a request whose time is up when it comes, and says so at once.
func TestExpiredOnArrival(t *testing.T) {
	_, u, n := serving(t, safe("g"), once("g"))
	before := u.Total()
	for name, path := range map[string]string{"safe": "/safe/x", "once": "/once/x"} {
		response, _ := n.ask(t, http.MethodPost, path, name, 1)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Equal(t, []string{"refused", "request"}, n.lines.about(name))
		require.Equal(t, comfreyvale.CauseDeadline, n.lines.whole(name)[0]["cause"])
	}
	require.Equal(t, before, u.Total())
}

// TestStartInAnOutage serves by what other balancers know when the directories cannot be read, and hears of changes and
// leaving upstreams through those that can.
func TestStartInAnOutage(t *testing.T) {
	d := newDeployment(t)
	a := d.server("a", "g")
	d.server("b", "g")
	d.publish(3, safe("g"))
	d.node().awaitReady(t)
	cutRoutes, cutUpstreams := cvmemdirectory.New(), cvmemdirectory.New()
	cutRoutes.SetDown(true)
	cutUpstreams.SetDown(true)
	cut := d.nodeReading(cutRoutes, cutUpstreams)
	cut.awaitReady(t)
	cut.serves(t, "/safe/x", http.StatusOK)
	d.publish(4, safe("g"), once("g"))
	cut.serves(t, "/once/x", http.StatusOK)
	d.enter("a", "g", true, 2)
	require.Eventually(t, func() bool {
		before := a.Total()
		for i := range 10 {
			cut.ask(t, http.MethodGet, "/safe/x", fmt.Sprint("l", i), 1000)
		}
		return a.Total() == before
	}, 30*time.Second, time.Millisecond)
}

// stuck is a directory whose reads are not answered.
type stuck struct{}

func (stuck) Newest(ctx context.Context) (comfreyvale.Changes, error) {
	<-ctx.Done()
	return comfreyvale.Changes{}, ctx.Err()
}

func (s stuck) Follow(ctx context.Context, _ int64, _ time.Duration) (comfreyvale.Changes, error) {
	return s.Newest(ctx)
}

func (stuck) String() string { return "stuck" }

// TestNothingReadYet has a balancer that has read nothing yet not tell others that there are no upstreams.
func TestNothingReadYet(t *testing.T) {
	d := newDeployment(t)
	d.nodeReading(stuck{}, stuck{})
	peer := fmt.Sprintf("127.0.1.1:%d", d.ports[2])
	require.Eventually(t, func() bool {
		s, err := (&cvrelay.Relay{}).Fetch(context.Background(), peer, 0)
		if err != nil {
			return false
		}
		require.True(t, s.GetDirectoryAway())
		return true
	}, 30*time.Second, time.Millisecond)
}

// TestPoisonRequest sends a request that crashes each upstream that runs it again and again through two balancers: most
// upstreams survive, and one that only breaks connections is not taken for crashed.
func TestPoisonRequest(t *testing.T) {
	d := newDeployment(t)
	for i := range 10 {
		d.server(fmt.Sprint("s", i), "g")
	}
	d.publish(1, safe("g"), once("g"))
	nodes := []*running{d.node(), d.node()}
	for _, n := range nodes {
		n.awaitReady(t)
		n.serves(t, "/safe/warm", http.StatusOK)
	}
	resets := d.servers["s0"]
	for i := range 6 {
		resets.SetMode(cvfaulty.Reset, false)
		nodes[0].ask(t, http.MethodGet, "/safe/innocent", fmt.Sprint("i", i), 1000)
	}
	resets.SetMode(cvfaulty.Whole, false)
	nodes[0].serves(t, "/safe/innocent", http.StatusOK)
	refused := func(n *running, i int) bool {
		response, _ := n.ask(t, http.MethodPost, "/once/poison", fmt.Sprint("p", i), 1000)
		return response.StatusCode == http.StatusServiceUnavailable
	}
	for i := 0; !refused(nodes[i%2], i); i++ {
		require.Less(t, i, 10, "the request was never refused")
		// Callers come again after a while, in which the balancers have told each other.
		time.Sleep(300 * time.Millisecond)
	}
	for i := range 10 {
		require.True(t, refused(nodes[i%2], 100+i))
	}
	lost := 0
	for _, u := range d.servers {
		if u.Ran("p0")+u.Ran("p1")+u.Ran("p2")+u.Ran("p3") > 0 {
			lost++
		}
	}
	require.LessOrEqual(t, lost, 3)
	nodes[1].serves(t, "/safe/after", http.StatusOK)
}

// TestOneBalancerReadsDirectories has one of several balancers read the directories; the others have its records in force all the same, and
// read themselves when it is gone.
func TestOneBalancerReadsDirectories(t *testing.T) {
	d := newDeployment(t)
	d.server("a", "g")
	d.publish(1, safe("g"))
	counted := []*cvmemdirectory.Directory{}
	for range 3 {
		// Each balancer has a directory of its own with the same records, so that its reads can be counted.
		counted = append(counted, cvmemdirectory.New())
	}
	publish := func(version int64, routes ...testRoute) {
		value, err := json.Marshal(testRoutes{Version: version, Routes: routes})
		require.NoError(t, err)
		for _, c := range counted {
			c.Put("routes", value)
		}
	}
	publish(1, safe("g"))
	for _, c := range counted {
		d.nodeReading(c, d.upstreams)
	}
	for _, n := range d.nodes {
		n.awaitReady(t)
	}
	reads := func() []int {
		var found []int
		for _, c := range counted {
			found = append(found, c.Reads())
		}
		return found
	}
	reading := func(wait time.Duration) (readers []int) {
		before := reads()
		time.Sleep(wait)
		for i, after := range reads() {
			if after > before[i] {
				readers = append(readers, i)
			}
		}
		return readers
	}
	require.Eventually(t, func() bool { return len(reading(3*time.Second)) == 1 }, 60*time.Second, time.Millisecond)
	publish(2, safe("g"), once("g"))
	for _, n := range d.nodes {
		n.serves(t, "/once/x", http.StatusOK)
	}
	reader := reading(3 * time.Second)
	require.Len(t, reader, 1, "the change made others read")
	d.nodes[reader[0]].stop()
	publish(3, safe("g"), once("g"), testRoute{Prefix: "/new/", Idempotent: true, Timeout: time.Second, Attempts: 1, Splits: map[string]float64{"g": 1}})
	for i, n := range d.nodes {
		if i != reader[0] {
			n.serves(t, "/new/x", http.StatusOK)
		}
	}
}

// TestSpans makes a span for the request and one for each try, below the caller's, and tells the upstream.
func TestSpans(t *testing.T) {
	d := newDeployment(t)
	d.server("a", "g")
	d.publish(1, safe("g"))
	spans := tracetest.NewInMemoryExporter()
	d.tracer = sdk.NewTracerProvider(sdk.WithSyncer(spans)).Tracer("test")
	n := d.node()
	n.awaitReady(t)
	n.serves(t, "/safe/x", http.StatusOK)
	byName := map[string]int{}
	for _, s := range spans.GetSpans() {
		byName[s.Name]++
	}
	require.Positive(t, byName["accept"])
	require.Positive(t, byName["try"])
}
