package cvfollower_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"comfreyvale/core/cvconfiguration"
	"comfreyvale/core/cvreader"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/operators/cvlogger"
	"comfreyvale/io/operators/cvmetrics"
	"comfreyvale/io/standins/cvmemlog"
	"comfreyvale/io/store/cvfollower"
)

func publication(t *testing.T, id, slots string, base int64) *cvwire.ConfigurationRecord {
	f := &cvwire.ServiceFile{Service: "s", Path: "f", Base: base, Content: []byte("service: s\nhost: h\ngroup: g\nslots: " + slots + "\n")}
	return &cvwire.ConfigurationRecord{Record: &cvwire.ConfigurationRecord_Publication{Publication: &cvwire.Publication{Id: id, Files: []*cvwire.ServiceFile{f}}}}
}

// TestNewcomerSkipsOldConfigurations guards against a new balancer that puts an outdated configuration into force: the
// log keeps only an older checkpoint and the records after it, and a peer offers the same checkpoint.
func TestNewcomerSkipsOldConfigurations(t *testing.T) {
	log := &cvmemlog.Log{}
	reader := cvreader.New()
	appendRecord := func(record *cvwire.ConfigurationRecord) {
		body, err := proto.Marshal(record)
		require.NoError(t, err)
		_, err = log.Append(context.Background(), cvfollower.Stream, body)
		require.NoError(t, err)
		batch, err := log.Read(context.Background(), cvfollower.Stream, reader.NextOffset(), 0)
		require.NoError(t, err)
		_, err = reader.Apply(batch.Records()[0])
		require.NoError(t, err)
	}
	appendRecord(publication(t, "a", "1", 0))
	old := reader.Checkpoint()
	appendRecord(publication(t, "b", "2", 1))
	appendRecord(&cvwire.ConfigurationRecord{Record: &cvwire.ConfigurationRecord_Checkpoint{Checkpoint: old}})
	log.SetMaxRecords(2)

	var mu sync.Mutex
	var seen []int64
	f := &cvfollower.Follower{
		Log: log, Metrics: cvmetrics.New(), Logger: (&cvlogger.Options{Out: io.Discard}).New(),
		OnChange: func(c *cvconfiguration.Configuration) {
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, c.Generation())
		},
	}
	f.RestoreCheckpoint(old)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- f.Run(ctx) }()
	require.Eventually(t, f.Confirmed, 10*time.Second, time.Millisecond)
	cancel()
	require.NoError(t, <-done)
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, []int64{2}, seen)
}
