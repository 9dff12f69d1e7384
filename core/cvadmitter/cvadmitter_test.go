package cvadmitter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/core/cvadmitter"
	"comfreyvale/core/cvclass"
	"comfreyvale/core/cvpicker"
	"comfreyvale/core/cvticket"
)

var now = time.Unix(1000, 0)

func admitter(upstreams, slots, queue int) *cvadmitter.Admitter {
	var vms []comfreyvale.VM
	for i := range upstreams {
		vms = append(vms, comfreyvale.NewVM(fmt.Sprint(i), "g", "dc", "", false))
	}
	a := &cvadmitter.Admitter{Picker: &cvpicker.Picker{EjectFailures: 3, EjectTime: time.Second}, QueueLimit: queue}
	a.Update(now, vms, slots, 1)
	return a
}

func ticket(name string, share float64, priority int, left time.Duration) *cvticket.Ticket {
	return cvticket.New(cvclass.New(name).WithSlots(share, priority), nil, now.Add(left))
}

// TestBulkLeavesRoom guards against file calls taking all slots: their class keeps to its share, and a lookup gets a
// slot at once.
func TestBulkLeavesRoom(t *testing.T) {
	a := admitter(2, 4, 100)
	granted := 0
	for range 20 {
		f := ticket("file", 0.5, 1, time.Minute)
		require.True(t, a.Enter(now, 1, f))
		if _, ok := f.Upstream(); ok {
			granted++
		}
	}
	require.Equal(t, 4, granted)
	lookup := ticket("lookup", 1, 0, time.Second)
	require.True(t, a.Enter(now, 1, lookup))
	next, ok := a.Next(now, 1)
	require.True(t, ok)
	require.Same(t, lookup, next)
	_, ok = a.Next(now, 1)
	require.False(t, ok, "a file call got a slot beyond the share of its class")
}

// TestRefusesEarly guards against queueing calls that would wait too long: calls are refused beyond about ten mean
// latencies of waiting, and earlier if they have little time left.
func TestRefusesEarly(t *testing.T) {
	const latency = 20 * time.Millisecond
	a := admitter(1, 1, 1000)
	for range 200 {
		first := ticket("c", 1, 0, time.Minute)
		require.True(t, a.Enter(now, 1, first))
		a.Done(now, first, comfreyvale.NewOutcome(comfreyvale.ResultAnswered, latency))
	}
	require.True(t, a.Enter(now, 1, ticket("c", 1, 0, time.Minute)))
	waiting := 0
	for a.Enter(now, 1, ticket("c", 1, 0, time.Minute)) {
		waiting++
	}
	require.InDelta(t, 11, waiting, 1, "the queue did not end at about ten mean latencies of waiting")
	require.False(t, a.Enter(now, 1, ticket("c", 1, 0, 100*time.Millisecond)))
}
