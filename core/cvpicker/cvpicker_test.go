package cvpicker_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreyvale"
	"comfreyvale/core/cvpicker"
)

// A fixed seed makes every run check the same cases.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

func vms(count int) []comfreyvale.VM {
	var all []comfreyvale.VM
	for i := range count {
		all = append(all, comfreyvale.NewVM(fmt.Sprint(i), "g", "dc", "", false))
	}
	return all
}

func picker() *cvpicker.Picker {
	return &cvpicker.Picker{EjectFailures: 3, EjectTime: time.Second, EjectFloor: 0.5}
}

// TestLimits checks random sequences of events: attempts, those of peers included, never exceed the slots; EjectFloor
// holds; draining and avoided upstreams get no attempts.
func TestLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, count = 3, 6
		p := picker()
		now := time.Unix(1000, 0)
		p.Update(now, vms(count), slots)
		own, peer, draining := map[string]int{}, map[string]int{}, map[string]bool{}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			name := fmt.Sprint(rapid.IntRange(0, count-1).Draw(t, "upstream"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				vm, ok := p.Pick(now, rapid.Uint64().Draw(t, "draw"), []string{name})
				if !ok {
					continue
				}
				require.NotEqual(t, name, vm.Name(), "an avoided upstream was chosen")
				require.False(t, draining[vm.Name()], "a draining upstream was chosen")
				own[vm.Name()]++
				require.LessOrEqual(t, own[vm.Name()]+peer[vm.Name()], slots)
			case 2:
				if own[name] > 0 {
					own[name]--
					result := comfreyvale.Result(rapid.IntRange(0, 3).Draw(t, "result"))
					p.Done(now, name, comfreyvale.NewOutcome(result, 5*time.Millisecond))
				}
			case 3:
				peer = map[string]int{name: rapid.IntRange(0, slots).Draw(t, "count")}
				p.Observe(now, "peer", true, []comfreyvale.InFlight{comfreyvale.NewInFlight(name, peer[name])})
			case 4:
				if len(draining) == 0 {
					p.MarkDraining(now, name)
					draining[name] = true
				}
			}
			require.LessOrEqual(t, len(p.Ejected()), count/2)
		}
	})
}

// TestPrefers checks that Pick avoids a slow, a failing and a busy upstream.
func TestPrefers(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := map[string]struct {
		degrade func(p *cvpicker.Picker)
	}{
		"slow":    {func(p *cvpicker.Picker) { end(p, now, "0", comfreyvale.ResultAnswered, 500*time.Millisecond) }},
		"failing": {func(p *cvpicker.Picker) { end(p, now, "0", comfreyvale.ResultFailed, time.Millisecond) }},
		"busy": {func(p *cvpicker.Picker) {
			p.Observe(now, "peer", true, []comfreyvale.InFlight{comfreyvale.NewInFlight("0", 3)})
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := picker()
			p.Update(now, vms(2), 4)
			end(p, now, "1", comfreyvale.ResultAnswered, 5*time.Millisecond)
			c.degrade(p)
			for draw := range uint64(20) {
				vm, ok := p.Pick(now, draw, nil)
				require.True(t, ok)
				require.Equal(t, "1", vm.Name())
				p.Done(now, "1", comfreyvale.NewOutcome(comfreyvale.ResultCancelled, 0))
			}
		})
	}
}

func end(p *cvpicker.Picker, now time.Time, name string, result comfreyvale.Result, latency time.Duration) {
	other := map[string]string{"0": "1", "1": "0"}[name]
	p.Pick(now, 1, []string{other})
	p.Done(now, name, comfreyvale.NewOutcome(result, latency))
}

// TestSlowStart checks that an upstream that joins a running fleet gets one attempt at first, but all its slots when no
// other upstream has a free slot.
func TestSlowStart(t *testing.T) {
	now := time.Unix(1000, 0)
	p := picker()
	p.Update(now, vms(1), 2)
	p.Update(now.Add(time.Minute), vms(2), 2)
	got := map[string]int{}
	for range 4 {
		vm, ok := p.Pick(now.Add(time.Minute), 1, nil)
		require.True(t, ok)
		got[vm.Name()]++
		if got["1"] == 2 {
			require.Equal(t, 2, got["0"], "the new upstream got its second attempt before the other was full")
		}
	}
	_, ok := p.Pick(now.Add(time.Minute), 1, nil)
	require.False(t, ok)
}

// TestRemovedWhileEjected guards against counting ejected upstreams that were removed, which would leave no room for
// other ejections.
func TestRemovedWhileEjected(t *testing.T) {
	p := picker()
	now := time.Unix(1000, 0)
	all := vms(12)
	p.Update(now, all[:6], 4)
	for _, v := range all[:3] {
		for range 3 {
			end(p, now, v.Name(), comfreyvale.ResultFailed, 0)
		}
	}
	require.Len(t, p.Ejected(), 3)
	p.Update(now, all[6:], 4)
	require.Empty(t, p.Ejected())
	for _, v := range all[6:9] {
		for range 3 {
			end(p, now, v.Name(), comfreyvale.ResultFailed, 0)
		}
	}
	require.Len(t, p.Ejected(), 3)
}
