package cvbalancer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/io/operators/cvadminclient"
)

// disconnectableLog is one VM's connection to the log. While it is disconnected, all operations fail.
type disconnectableLog struct {
	comfreyvale.Log
	disconnected atomic.Bool
}

func (l *disconnectableLog) Append(ctx context.Context, stream string, body []byte) (int64, error) {
	if l.disconnected.Load() {
		return 0, errors.New("the log is disconnected")
	}
	return l.Log.Append(ctx, stream, body)
}

func (l *disconnectableLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (comfreyvale.Batch, error) {
	if l.disconnected.Load() {
		return comfreyvale.Batch{}, errors.New("the log is disconnected")
	}
	batch, err := l.Log.Read(ctx, stream, from, min(wait, 50*time.Millisecond))
	if l.disconnected.Load() {
		return comfreyvale.Batch{}, errors.New("the log is disconnected")
	}
	return batch, err
}

// TestLogDisconnected guards against failures of a balancer that reaches its peers but not the log: it must get a new
// configuration from them and still grant the keys that it generated. When the log is reachable again, it must get the
// next configuration too.
func TestLogDisconnected(t *testing.T) {
	s := newSystem(t, 3, 2, "")
	s.balancerLogs[1].disconnected.Store(true)
	s.publish("while cut", 1, "service: s\nhost: h.example\ngroup: g\nslots: 3\n")
	operator := &cvadminclient.Client{}
	generation := func(i int) int64 {
		status, err := operator.Status(context.Background(), s.adminAddresses[i])
		require.NoError(t, err)
		return status.Generation
	}
	require.Eventually(t, func() bool { return generation(1) == generation(0) && generation(0) > 1 }, 5*time.Second, 10*time.Millisecond)
	keys := s.generatedKeys(1)
	r := s.send(1, "POST", "/orders", map[string]string{"Idempotency-Key": keys[0]})
	require.Equal(t, 200, r.status, r.body)
	again := s.send(2, "POST", "/orders", map[string]string{"Idempotency-Key": keys[0]})
	require.Equal(t, "true", again.header.Get("Comfreyvale-Replayed"), again.body)
	require.Equal(t, 1, s.runs(keys[0]))
	before := generation(1)
	s.balancerLogs[1].disconnected.Store(false)
	s.publish("healed", before, "service: s\nhost: h.example\ngroup: g\nslots: 2\n")
	require.Eventually(t, func() bool { return generation(1) > before }, 5*time.Second, 10*time.Millisecond)
}

// TestGeneratedKeyOfStoppedProcess guards against a second run of a request whose key a stopped process generated: only
// that process knows whether the request ran.
func TestGeneratedKeyOfStoppedProcess(t *testing.T) {
	s := newSystem(t, 2, 2, "timeout: 300ms\n")
	key := s.generatedKeys(0)[0]
	s.stops[0]()
	r := s.send(1, "POST", "/orders", map[string]string{"Idempotency-Key": key})
	require.Equal(t, "unknown", r.header.Get("Comfreyvale-Ran"), r.body)
	require.Zero(t, s.runs(key))
}
