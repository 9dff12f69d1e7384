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

// cutLog is the log as one VM sees it, which can be cut.
type cutLog struct {
	comfreyvale.Log
	cut atomic.Bool
}

func (l *cutLog) Append(ctx context.Context, stream string, body []byte) (int64, error) {
	if l.cut.Load() {
		return 0, errors.New("cut")
	}
	return l.Log.Append(ctx, stream, body)
}

func (l *cutLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (comfreyvale.Batch, error) {
	if l.cut.Load() {
		return comfreyvale.Batch{}, errors.New("cut")
	}
	batch, err := l.Log.Read(ctx, stream, from, min(wait, 50*time.Millisecond))
	if l.cut.Load() {
		return comfreyvale.Batch{}, errors.New("cut")
	}
	return batch, err
}

// TestLogDisconnected cuts one VM from the log but not from its peers: a publication is in force there in time, through
// the peers; keys issued by it go on being granted; and it comes back to the log without a step back.
func TestLogDisconnected(t *testing.T) {
	s := newSystem(t, 3, 2, "")
	s.logs[1].cut.Store(true)
	s.publish("while cut", 1, "service: s\nhost: h.example\ngroup: g\nslots: 3\n")
	operator := &cvadminclient.Client{}
	generation := func(i int) int64 {
		status, err := operator.Status(context.Background(), s.admins[i])
		require.NoError(t, err)
		return status.Generation
	}
	require.Eventually(t, func() bool { return generation(1) == generation(0) && generation(0) > 1 }, 5*time.Second, 10*time.Millisecond)
	keys := s.issued(1)
	r := s.send(1, "POST", "/orders", map[string]string{"Idempotency-Key": keys[0]})
	require.Equal(t, 200, r.status, r.body)
	again := s.send(2, "POST", "/orders", map[string]string{"Idempotency-Key": keys[0]})
	require.Equal(t, "true", again.header.Get("Comfreyvale-Replayed"), again.body)
	require.Equal(t, 1, s.runs(keys[0]))
	before := generation(1)
	s.logs[1].cut.Store(false)
	s.publish("healed", before, "service: s\nhost: h.example\ngroup: g\nslots: 2\n")
	require.Eventually(t, func() bool { return generation(1) > before }, 5*time.Second, 10*time.Millisecond)
}

// TestGeneratedKeyOfStoppedProcess asks for a key whose issuer has stopped: it may have run, and is never granted.
func TestGeneratedKeyOfStoppedProcess(t *testing.T) {
	s := newSystem(t, 2, 2, "timeout: 300ms\n")
	key := s.issued(0)[0]
	s.stops[0]()
	r := s.send(1, "POST", "/orders", map[string]string{"Idempotency-Key": key})
	require.Equal(t, "unknown", r.header.Get("Comfreyvale-Ran"), r.body)
	require.Zero(t, s.runs(key))
}
