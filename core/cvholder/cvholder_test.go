package cvholder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/core/cvholder"
)

// TestStates guards against a grant that is sent after its release, changes after its answer is stored, or expires
// while its request may still run.
func TestStates(t *testing.T) {
	now := time.Unix(1000, 0)
	key := comfreyvale.NewKey("s/k", []byte("d"), time.Minute)
	answer := comfreyvale.NewAnswer(200, http.Header{"A": {"b"}}, []byte("body"))
	cases := map[string]struct {
		budget     int64
		steps      func(h *cvholder.Holder)
		grantState string
		keyState   string
	}{
		"asked":                  {1 << 20, func(*cvholder.Holder) {}, cvholder.Claiming, cvholder.Claiming},
		"runs":                   {1 << 20, func(h *cvholder.Holder) { h.MarkRunning("g") }, cvholder.Running, cvholder.Running},
		"given up before it ran": {1 << 20, func(h *cvholder.Holder) { h.Release("g"); h.MarkRunning("g") }, cvholder.Released, cvholder.Absent},
		"answered":               {1 << 20, func(h *cvholder.Holder) { h.MarkRunning("g"); h.Finish("g", answer) }, cvholder.Answered, cvholder.Answered},
		"no room for the answer": {100, func(h *cvholder.Holder) { h.MarkRunning("g"); h.Finish("g", answer) }, cvholder.Lost, cvholder.Lost},
		"lost":                   {1 << 20, func(h *cvholder.Holder) { h.MarkRunning("g"); h.MarkLost("g") }, cvholder.Lost, cvholder.Lost},
		"answer after release":   {1 << 20, func(h *cvholder.Holder) { h.Release("g"); h.Finish("g", answer) }, cvholder.Released, cvholder.Absent},
		"release after answer":   {1 << 20, func(h *cvholder.Holder) { h.MarkRunning("g"); h.Finish("g", answer); h.Release("g") }, cvholder.Answered, cvholder.Answered},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := &cvholder.Holder{AnswerBudget: c.budget}
			h.Begin(now, key, "g")
			c.steps(h)
			grantState, _ := h.GrantState("g")
			require.Equal(t, c.grantState, grantState)
			keyState, _, _ := h.State(key.Text())
			require.Equal(t, c.keyState, keyState)
			h.Expire(now.Add(time.Hour))
			unfinished := grantState == cvholder.Claiming || grantState == cvholder.Running
			require.Equal(t, unfinished, h.Len() == 1, "a key whose request may still run must not expire")
		})
	}
}
