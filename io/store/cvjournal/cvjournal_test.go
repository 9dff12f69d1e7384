package cvjournal_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/operators/cvmetrics"
	"comfreyvale/io/standins/cvmemlog"
	"comfreyvale/io/store/cvjournal"
)

// forgetfulLog accepts records at unexpected offsets and returns none.
type forgetfulLog struct{ cvmemlog.Log }

func (*forgetfulLog) Append(context.Context, string, []byte) (int64, error) { return 7, nil }

func (*forgetfulLog) Read(context.Context, string, int64, time.Duration) (comfreyvale.Batch, error) {
	return comfreyvale.NewBatch(1, 1, nil), nil
}

// TestRecordNotReturned checks that an accepted record which cannot be read is an error with a text, as it may or may
// not be in the journal.
func TestRecordNotReturned(t *testing.T) {
	j := &cvjournal.Journal{Log: &forgetfulLog{}, Incarnation: "i", Metrics: cvmetrics.New()}
	sealed, err := j.Append(context.Background(), &cvwire.JournalRecord{Id: "i/1"})
	require.False(t, sealed)
	require.Equal(t, comfreyvale.KindUncertain, cvfault.KindOf(err))
	require.ErrorContains(t, err, "does not return it")
}
