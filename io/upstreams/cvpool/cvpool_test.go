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
	"comfreyvale/io/balancers/cvbodies"
	"comfreyvale/io/standins/cvfaulty"
	"comfreyvale/io/upstreams/cvpool"
)

var headerNames = cvheadernames.Names{RequestID: "Test-Id", Deadline: "Test-Deadline", Instance: "Test-Instance", NotRun: "Test-Not-Run", Load: "Test-Load", Signature: "Test-Signature"}

func newPool() *cvpool.Pool {
	return &cvpool.Pool{HeaderNames: headerNames, MaxResponseBytes: 1 << 20, OnOpen: func(string) {}, OnDrop: func(string, string, string) {}}
}

func startUpstream(t *testing.T) (*cvfaulty.Upstream, *cvinstance.Instance) {
	u := &cvfaulty.Upstream{ID: "one", HeaderNames: headerNames}
	address, err := u.Start()
	require.NoError(t, err)
	t.Cleanup(u.Stop)
	return u, cvinstance.New("one", "g", address, "dc", 4)
}

func exchange(p *cvpool.Pool, instance *cvinstance.Instance, id string, nonIdempotent bool) (comfreyvale.Answer, error) {
	return exchangeWithin(2*time.Second, p, instance, id, nonIdempotent)
}

func exchangeWithin(timeout time.Duration, p *cvpool.Pool, instance *cvinstance.Instance, id string, nonIdempotent bool) (comfreyvale.Answer, error) {
	request := cvrequest.New(id, http.MethodPost, "/a%2Fb/../c?d=%20", "host.example", http.Header{"Test-Id": {id}}, []byte("body of "+id))
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	memory := newMemory().Holder("caller")
	defer memory.Close()
	return p.Exchange(ctx, instance, 8, request.WithDeadline(deadline).WithNonIdempotent(nonIdempotent), memory)
}

// newMemory returns a memory for a few responses of the maximum length.
func newMemory() *cvbodies.Memory {
	m := &cvbodies.Memory{}
	m.SetLimit(8 << 20)
	return m
}

type sender func(instance *cvinstance.Instance, id string) (string, error)

var faultCases = map[string]struct {
	mode string
	// kind is the error kind of the faulty exchange, or empty if the pool still returns the correct response.
	kind comfreyvale.Kind
}{
	"a second answer at once":       {cvfaulty.ModeDuplicate, ""},
	"the answer to the one before":  {cvfaulty.ModePreviousFirst, ""},
	"cut in the body":               {cvfaulty.ModeTruncate, comfreyvale.KindUncertain},
	"no answer":                     {cvfaulty.ModeNoResponse, comfreyvale.KindUncertain},
	"bytes that are no answer":      {cvfaulty.ModeMalformed, comfreyvale.KindUncertain},
	"no length, ended in order":     {cvfaulty.ModeNoLength, ""},
	"another request's answer":      {cvfaulty.ModeWrongID, comfreyvale.KindTimeout},
	"before the body was read":      {cvfaulty.ModeEarlyResponse, ""},
	"the connection ends behind it": {cvfaulty.ModeCloseAfterResponse, ""},
}

// injectFault makes the upstream give one faulty response between correct ones. It returns the wrong or partial
// responses, the failures of other requests and the requests that did not run exactly once, and the error of the faulty
// exchange.
func injectFault(t *testing.T, mode string, send sender) (wrong []string, faultErr error) {
	u, instance := startUpstream(t)
	check := func(id string) error {
		body, err := send(instance, id)
		if err == nil && body != "answer to "+id {
			wrong = append(wrong, fmt.Sprintf("%s got %q", id, body))
		}
		return err
	}
	require.NoError(t, check("before"))
	u.SetMode(mode, true)
	faultErr = check("faulty")
	for n := range 5 {
		id := fmt.Sprint("after", n)
		if err := check(id); err != nil {
			wrong = append(wrong, fmt.Sprintf("%s failed: %v", id, err))
		}
		if u.RunCount(id) != 1 {
			wrong = append(wrong, fmt.Sprintf("%s ran %d times", id, u.RunCount(id)))
		}
	}
	if u.RunCount("faulty") != 1 {
		wrong = append(wrong, fmt.Sprintf("faulty ran %d times", u.RunCount("faulty")))
	}
	return wrong, faultErr
}

// TestAnswersBelongToTheirRequests guards against responses that reach the wrong request: after each kind of faulty
// response, no request may get a wrong or partial response, and each must run exactly once.
func TestAnswersBelongToTheirRequests(t *testing.T) {
	for name, c := range faultCases {
		t.Run(name, func(t *testing.T) {
			p := newPool()
			defer p.Close()
			wrong, err := injectFault(t, c.mode, func(instance *cvinstance.Instance, id string) (string, error) {
				answer, err := exchange(p, instance, id, false)
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

// TestNaivePool shows why the pool does not use the client of net/http, which returns a response to another request and
// sends a request twice.
func TestNaivePool(t *testing.T) {
	cases := map[string]struct {
		mode, method string
		wrong        string
	}{
		"another request's answer": {cvfaulty.ModeWrongID, http.MethodPost, `faulty got "answer to a stranger"`},
		"no answer":                {cvfaulty.ModeNoResponse, http.MethodGet, "faulty ran 2 times"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport, Timeout: 2 * time.Second}
			wrong, err := injectFault(t, c.mode, func(instance *cvinstance.Instance, id string) (string, error) {
				request, err := http.NewRequest(c.method, "http://"+instance.Address()+"/", nil)
				require.NoError(t, err)
				request.Header.Set(headerNames.RequestID, id)
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

// TestBytesArriveUnchanged guards against changes to the target and the body, such as decoding or cleaning the path.
func TestBytesArriveUnchanged(t *testing.T) {
	u, instance := startUpstream(t)
	p := newPool()
	defer p.Close()
	_, err := exchange(p, instance, "x", true)
	require.NoError(t, err)
	target, body := u.Received("x")
	require.Equal(t, "/a%2Fb/../c?d=%20", target)
	require.Equal(t, "body of x", body)
}

// TestConnectionsAreReused guards against opening a connection for each of several sequential requests.
func TestConnectionsAreReused(t *testing.T) {
	u, instance := startUpstream(t)
	p := newPool()
	defer p.Close()
	for n := range 20 {
		_, err := exchange(p, instance, fmt.Sprint(n), true)
		require.NoError(t, err)
	}
	require.Equal(t, 1, u.AcceptedConnections())
}

// TestConnectionLimit guards against opening more connections than the limit; further requests must be refused unsent.
func TestConnectionLimit(t *testing.T) {
	u, instance := startUpstream(t)
	u.SetMode(cvfaulty.ModeHang, false)
	p := newPool()
	defer p.Close()
	var wait sync.WaitGroup
	kinds := make(chan comfreyvale.Kind, 12)
	for n := range 12 {
		wait.Go(func() {
			_, err := exchange(p, instance, fmt.Sprint(n), true)
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
	require.Equal(t, 8, u.TotalRuns())
}

// TestConnectRefused checks that a failed connect states that nothing was sent.
func TestConnectRefused(t *testing.T) {
	u, instance := startUpstream(t)
	u.Stop()
	_, err := exchange(newPool(), instance, "x", true)
	require.Equal(t, comfreyvale.KindUnavailable, cvfault.KindOf(err))
}

// TestCancelledExchangesEndTheirConnection guards against reusing the connection of a cancelled request, on which its
// response may still arrive. Closing it also lets the upstream stop the work.
func TestCancelledExchangesEndTheirConnection(t *testing.T) {
	u, instance := startUpstream(t)
	u.SetMode(cvfaulty.ModeHang, true)
	p := newPool()
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	request := cvrequest.New("gone", http.MethodGet, "/", "h", http.Header{"Test-Id": {"gone"}}, nil)
	_, err := p.Exchange(ctx, instance, 8, request.WithDeadline(time.Now().Add(time.Second)), newMemory().Holder("caller"))
	require.Equal(t, comfreyvale.KindTimeout, cvfault.KindOf(err))
	require.Zero(t, p.OpenCount())
	_, err = exchange(p, instance, "next", true)
	require.NoError(t, err)
	require.Equal(t, 2, u.AcceptedConnections())
}

// TestRequestForAnotherInstance guards against running a request on an instance that got the address of another one.
func TestRequestForAnotherInstance(t *testing.T) {
	u, instance := startUpstream(t)
	other := cvinstance.New("two", "g", instance.Address(), "dc", 4)
	p := newPool()
	defer p.Close()
	answer, err := exchange(p, other, "x", true)
	require.NoError(t, err)
	require.Equal(t, http.StatusMisdirectedRequest, answer.Status())
	require.Zero(t, u.TotalRuns())
}

// TestNoGoroutineLeak guards against goroutines that outlive the pool.
func TestNoGoroutineLeak(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	u := &cvfaulty.Upstream{ID: "one", HeaderNames: headerNames}
	address, err := u.Start()
	require.NoError(t, err)
	p := newPool()
	_, err = exchange(p, cvinstance.New("one", "g", address, "dc", 4), "x", true)
	require.NoError(t, err)
	p.Close()
	u.Stop()
}
