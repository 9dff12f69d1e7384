package cvpool_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvheadernames"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvrequest"
	"comfreyvale/io/standins/cvfaulty"
	"comfreyvale/io/upstreams/cvpool"
)

var signs = cvheadernames.Names{RequestID: "Test-Id", Deadline: "Test-Deadline", Instance: "Test-Instance", NotRun: "Test-Not-Run", Load: "Test-Load", Signature: "Test-Signature"}

func newPool() *cvpool.Pool {
	return &cvpool.Pool{HeaderNames: signs, MaxResponseBytes: 1 << 20, OnOpen: func(string) {}, OnDrop: func(string, string, string) {}}
}

func start(t *testing.T) (*cvfaulty.Upstream, *cvinstance.Instance) {
	u := &cvfaulty.Upstream{ID: "one", Signs: signs}
	address, err := u.Start()
	require.NoError(t, err)
	t.Cleanup(u.Stop)
	return u, cvinstance.New("one", "g", address, "dc", 4)
}

func exchange(p *cvpool.Pool, to *cvinstance.Instance, id string, once bool) (comfreyvale.Answer, error) {
	message := cvrequest.New(id, http.MethodPost, "/a%2Fb/../c?d=%20", "host.example", http.Header{"Test-Id": {id}}, []byte("body of "+id))
	deadline := time.Now().Add(2 * time.Second)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return p.Exchange(ctx, to, 8, message, deadline, once)
}

// sender sends a request and returns its answer's body.
type sender func(to *cvinstance.Instance, id string) (string, error)

// spoils are the ways in which one answer is spoiled.
var spoils = map[string]struct {
	mode string
	// kind is what the spoiled exchange ends with, empty for a right answer.
	kind comfreyvale.Kind
}{
	"a second answer at once":       {cvfaulty.Twice, ""},
	"the answer to the one before":  {cvfaulty.Late, ""},
	"cut in the body":               {cvfaulty.Cut, comfreyvale.KindUncertain},
	"no answer":                     {cvfaulty.Reset, comfreyvale.KindUncertain},
	"bytes that are no answer":      {cvfaulty.Garbage, comfreyvale.KindUncertain},
	"no length, ended in order":     {cvfaulty.Unframed, ""},
	"another request's answer":      {cvfaulty.Stranger, comfreyvale.KindTimeout},
	"before the body was read":      {cvfaulty.Early, ""},
	"the connection ends behind it": {cvfaulty.Closes, ""},
}

// spoil spoils one answer, asks on, and returns what went wrong: a wrong or partial answer, a request that failed beside the
// spoiled one, or one that did not reach the upstream once. The error is that of the spoiled exchange.
func spoil(t *testing.T, mode string, send sender) (wrong []string, spoiled error) {
	u, to := start(t)
	judge := func(id string) error {
		body, err := send(to, id)
		if err == nil && body != "answer to "+id {
			wrong = append(wrong, fmt.Sprintf("%s got %q", id, body))
		}
		return err
	}
	require.NoError(t, judge("before"))
	u.SetMode(mode, true)
	spoiled = judge("spoiled")
	for n := range 5 {
		id := fmt.Sprint("after", n)
		if err := judge(id); err != nil {
			wrong = append(wrong, fmt.Sprintf("%s failed: %v", id, err))
		}
		if u.Ran(id) != 1 {
			wrong = append(wrong, fmt.Sprintf("%s ran %d times", id, u.Ran(id)))
		}
	}
	if u.Ran("spoiled") != 1 {
		wrong = append(wrong, fmt.Sprintf("spoiled ran %d times", u.Ran("spoiled")))
	}
	return wrong, spoiled
}

// TestAnswersBelongToTheirRequests spoils one answer in each way, and then asks on: nobody gets a wrong or partial answer,
// and each request reaches the upstream once.
func TestAnswersBelongToTheirRequests(t *testing.T) {
	for name, c := range spoils {
		t.Run(name, func(t *testing.T) {
			p := newPool()
			defer p.Close()
			wrong, err := spoil(t, c.mode, func(to *cvinstance.Instance, id string) (string, error) {
				answer, err := exchange(p, to, id, false)
				return string(answer.Body()), err
			})
			require.Empty(t, wrong)
			if c.kind == "" {
				require.NoError(t, err)
				return
			}
			require.Equal(t, c.kind, cvfault.KindOf(err))
		})
	}
}

// TestNaivePool has net/http's client go through the same: it hands out an answer that belongs to another request, and sends
// a request a second time.
func TestNaivePool(t *testing.T) {
	cases := map[string]struct {
		mode, method string
		wrong        string
	}{
		"another request's answer": {cvfaulty.Stranger, http.MethodPost, `spoiled got "answer to a stranger"`},
		"no answer":                {cvfaulty.Reset, http.MethodGet, "spoiled ran 2 times"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport, Timeout: 2 * time.Second}
			wrong, err := spoil(t, c.mode, func(to *cvinstance.Instance, id string) (string, error) {
				request, err := http.NewRequest(c.method, "http://"+to.Address()+"/", nil)
				require.NoError(t, err)
				request.Header.Set(signs.RequestID, id)
				response, err := client.Do(request)
				if err != nil {
					return "", err
				}
				defer response.Body.Close()
				body, err := io.ReadAll(response.Body)
				return string(body), err
			})
			require.NoError(t, err)
			require.Equal(t, []string{c.wrong}, wrong)
		})
	}
}

// TestBytesArriveUnchanged sends method, target and body on byte for byte.
func TestBytesArriveUnchanged(t *testing.T) {
	u, to := start(t)
	p := newPool()
	defer p.Close()
	_, err := exchange(p, to, "x", true)
	require.NoError(t, err)
	target, body := u.Got("x")
	require.Equal(t, "/a%2Fb/../c?d=%20", target)
	require.Equal(t, "body of x", body)
}

// TestConnectionsAreReused opens one connection for many exchanges, one after the other.
func TestConnectionsAreReused(t *testing.T) {
	u, to := start(t)
	p := newPool()
	defer p.Close()
	for n := range 20 {
		_, err := exchange(p, to, fmt.Sprint(n), true)
		require.NoError(t, err)
	}
	require.Equal(t, 1, u.Opened())
}

// TestConnectionLimit refuses, without sending anything, what would open one connection too many.
func TestConnectionLimit(t *testing.T) {
	u, to := start(t)
	u.SetMode(cvfaulty.Silent, false)
	p := newPool()
	defer p.Close()
	var wait sync.WaitGroup
	kinds := make(chan comfreyvale.Kind, 12)
	for n := range 12 {
		wait.Go(func() {
			_, err := exchange(p, to, fmt.Sprint(n), true)
			kinds <- cvfault.KindOf(err)
		})
	}
	wait.Wait()
	close(kinds)
	refused := 0
	for k := range kinds {
		if k == comfreyvale.KindExhausted {
			refused++
			continue
		}
		require.Equal(t, comfreyvale.KindTimeout, k)
	}
	require.Equal(t, 4, refused)
	require.Equal(t, 8, u.Total())
}

// TestConnectRefused says so when no connection is had.
func TestConnectRefused(t *testing.T) {
	u, to := start(t)
	u.Stop()
	_, err := exchange(newPool(), to, "x", true)
	require.Equal(t, comfreyvale.KindUnavailable, cvfault.KindOf(err))
}

// TestCancelledExchangesEndTheirConnection lets the upstream drop the work, and leaves no connection to a later request.
func TestCancelledExchangesEndTheirConnection(t *testing.T) {
	u, to := start(t)
	u.SetMode(cvfaulty.Silent, true)
	p := newPool()
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	message := cvrequest.New("gone", http.MethodGet, "/", "h", http.Header{"Test-Id": {"gone"}}, nil)
	_, err := p.Exchange(ctx, to, 8, message, time.Now().Add(time.Second), false)
	require.Equal(t, comfreyvale.KindTimeout, cvfault.KindOf(err))
	require.Zero(t, p.OpenCount())
	_, err = exchange(p, to, "next", true)
	require.NoError(t, err)
	require.Equal(t, 2, u.Opened())
}

// TestRequestForAnotherInstance does not run a request at an address that has changed hands.
func TestRequestForAnotherInstance(t *testing.T) {
	u, to := start(t)
	other := cvinstance.New("two", "g", to.Address(), "dc", 4)
	p := newPool()
	defer p.Close()
	answer, err := exchange(p, other, "x", true)
	require.NoError(t, err)
	require.Equal(t, http.StatusMisdirectedRequest, answer.Status())
	require.Zero(t, u.Total())
}

// TestNoGoroutineLeak ends all goroutines with the pool.
func TestNoGoroutineLeak(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	u := &cvfaulty.Upstream{ID: "one", Signs: signs}
	address, err := u.Start()
	require.NoError(t, err)
	p := newPool()
	_, err = exchange(p, cvinstance.New("one", "g", address, "dc", 4), "x", true)
	require.NoError(t, err)
	p.Close()
	u.Stop()
}
