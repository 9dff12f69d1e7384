package cvqueue_test

import (
	"cmp"
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreyvale/core/cvqueue"
)

// A fixed seed makes every run check the same cases.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

type entry struct {
	id, priority int
	deadline     time.Time
	order        uint64
}

// TestOrder checks the queue against a sorted slice for any sequence of Push, Pop and Remove.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &cvqueue.Queue[int]{Limit: rapid.IntRange(0, 10).Draw(t, "limit")}
		var model []entry
		for id := range rapid.IntRange(0, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				e := entry{id: id, priority: rapid.IntRange(0, 2).Draw(t, "priority"), deadline: time.Unix(int64(rapid.IntRange(0, 5).Draw(t, "deadline")), 0)}
				order, ok := q.Push(e.id, e.priority, e.deadline)
				require.Equal(t, len(model) < q.Limit, ok)
				if ok {
					e.order = order
					model = append(model, e)
				}
			case 1:
				odd := rapid.Bool().Draw(t, "odd")
				got, ok := q.Pop(func(id int) (bool, bool) { return id%2 == 1 == odd, true })
				slices.SortStableFunc(model, func(a, b entry) int {
					return cmp.Or(cmp.Compare(a.priority, b.priority), a.deadline.Compare(b.deadline), cmp.Compare(a.order, b.order))
				})
				i := slices.IndexFunc(model, func(e entry) bool { return e.id%2 == 1 == odd })
				require.Equal(t, i >= 0, ok)
				if ok {
					require.Equal(t, model[i].id, got)
					model = slices.Delete(model, i, i+1)
				}
			case 2:
				if len(model) > 0 {
					i := rapid.IntRange(0, len(model)-1).Draw(t, "removed")
					require.True(t, q.Remove(model[i].order))
					require.False(t, q.Remove(model[i].order))
					model = slices.Delete(model, i, i+1)
				}
			}
			require.Equal(t, len(model), q.Len())
		}
	})
}
