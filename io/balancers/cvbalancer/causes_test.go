package cvbalancer_test

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/io/operators/cvadminclient"
)

// TestCauses guards against missing or wrong explanations of decisions. After a fault, the last decision that explain
// returns must have the expected cause, with the setting and its file, line, revision and author, or with the condition
// and its evidence.
func TestCauses(t *testing.T) {
	lookup := func(s *system) reply { return s.send(0, "GET", "/lots/1?workMs=1", nil) }
	cases := map[string]struct {
		service   string
		fault     func(s *system)
		call      func(s *system) reply
		cause     comfreyvale.Cause
		setting   string
		line      float64
		condition string
		ran       string
		subject   string
	}{
		"no key": {
			service: "requireKey: true\n", cause: comfreyvale.CauseKeyRequired, setting: "requireKey", line: 4, ran: "no",
			call: func(s *system) reply { return s.send(0, "POST", "/orders", nil) },
		},
		"no upstream": {
			fault: func(s *system) {
				s.publish("other group", 1, "service: s\nhost: h.example\ngroup: nobody\n")
				time.Sleep(300 * time.Millisecond)
			},
			call: lookup, cause: comfreyvale.CauseNoUpstream, setting: "group", line: 3, ran: "no",
		},
		"too slow": {
			service: "timeout: 50ms\n", cause: comfreyvale.CauseDeadline, setting: "timeout", line: 4, ran: "unknown",
			call: func(s *system) reply { return s.send(0, "GET", "/lots/1?workMs=400", nil) },
		},
		"no slot in time": {
			service: "slots: 1\ntimeout: 100ms\nhedgeQuantile: 100%\n", cause: comfreyvale.CauseUpstreamsFull, setting: "slots", line: 4, ran: "no",
			fault: func(s *system) {
				for range 2 {
					go s.send(0, "GET", "/lots/1?workMs=3000", map[string]string{"Comfreyvale-Timeout": "3000"})
				}
				s.publish("longer", 1, "service: s\nhost: h.example\ngroup: g\nslots: 1\ntimeout: 5s\nhedgeQuantile: 100%\n")
				time.Sleep(300 * time.Millisecond)
				for range 2 {
					go s.send(0, "GET", "/lots/1?workMs=3000", nil)
				}
				time.Sleep(300 * time.Millisecond)
			},
			call: func(s *system) reply {
				return s.send(0, "GET", "/lots/2?workMs=1", map[string]string{"Comfreyvale-Timeout": "200"})
			},
		},
		"upstream broke": {
			service: "retryShare: 0%\nretryBurst: 0\n", cause: comfreyvale.CauseUpstreamBroke, condition: "upstream g-", ran: "unknown",
			fault: func(s *system) { s.setFault(0, `{"break":"midBody"}`); s.setFault(1, `{"break":"midBody"}`) }, call: lookup,
		},
		"unframed": {
			service: "retryShare: 0%\nretryBurst: 0\n", cause: comfreyvale.CauseAnswerUnframed, condition: "neither a length nor chunks", ran: "unknown",
			fault: func(s *system) { s.setFault(0, `{"break":"unframed"}`); s.setFault(1, `{"break":"unframed"}`) }, call: lookup,
		},
		"refused unrun": {
			service: "retryShare: 0%\nretryBurst: 0\n", cause: comfreyvale.CauseUpstreamRefused, condition: "refused the request unrun", ran: "no",
			fault: func(s *system) {
				for i := range 2 {
					s.setFault(i, `{"drain":true,"refuseWhileDraining":true}`)
				}
			},
			call: lookup,
		},
		"queue full": {
			service: "queue: 0\nslots: 1\nhedgeQuantile: 100%\n", cause: comfreyvale.CauseQueueFull, setting: "queue", line: 4, ran: "no",
			fault: func(s *system) {
				for range 2 {
					go s.send(0, "GET", "/lots/1?workMs=1000", nil)
				}
				time.Sleep(300 * time.Millisecond)
			},
			call: lookup,
		},
		"nobody there": {
			service: "retryShare: 0%\nretryBurst: 0\n", cause: comfreyvale.CauseConnect, condition: "connection refused", ran: "no",
			fault: func(s *system) { s.group.Stop(context.Background()) }, call: lookup,
		},
		"quarantined": {
			cause: comfreyvale.CauseQuarantined, setting: "quarantineTime", condition: "died while they ran request", ran: "no",
			fault: func(s *system) {
				s.setFault(0, `{"poisonMark":"poison"}`)
				s.setFault(1, `{"poisonMark":"poison"}`)
				s.send(0, "GET", "/lots/1", map[string]string{"X-Tag": "poison"})
			},
			call: func(s *system) reply { return s.send(0, "GET", "/lots/1", map[string]string{"X-Tag": "poison"}) },
		},
		"order without answer": {
			cause: comfreyvale.CauseClaimHolderGone, condition: "was sent and has no answer", ran: "unknown",
			fault: func(s *system) {
				s.setFault(0, `{"break":"midBody"}`)
				s.setFault(1, `{"break":"midBody"}`)
				s.send(0, "POST", "/orders", map[string]string{"Idempotency-Key": "k"})
			},
			call: func(s *system) reply { return s.send(0, "POST", "/orders", map[string]string{"Idempotency-Key": "k"}) },
		},
		"key of another request": {
			cause: comfreyvale.CauseKeyReused, condition: "belongs to another request", ran: "no",
			fault: func(s *system) { s.send(0, "POST", "/orders", map[string]string{"Idempotency-Key": "k"}) },
			call:  func(s *system) reply { return s.send(0, "POST", "/others", map[string]string{"Idempotency-Key": "k"}) },
		},
		"ejected": {
			service: "ejectFailures: 2\nslots: 1\nhedgeQuantile: 100%\n", cause: comfreyvale.CauseEjected, setting: "ejectFailures", line: 4, subject: "g-1",
			fault: func(s *system) {
				s.setFault(0, `{"failFast":true}`)
				go s.send(0, "GET", "/lots/1?workMs=1000", nil)
				s.awaitRunning(1)
				// The other upstream's only slot is in use, so these requests first try the failing upstream.
				for range 2 {
					s.send(0, "GET", "/lots/1", map[string]string{"Comfreyvale-Timeout": "100"})
				}
			},
			call: lookup,
		},
		"draining": {
			cause: comfreyvale.CauseDraining, condition: "said so", subject: "g-1",
			fault: func(s *system) {
				s.setFault(0, `{"drain":true}`)
				// The other upstream fails, so that the request ends at the draining one.
				s.setFault(1, `{"failFast":true}`)
				r := s.send(0, "GET", "/lots/1", nil)
				require.Equal(s.t, http.StatusOK, r.status, r.body)
				s.setFault(1, `{}`)
			},
			call: lookup,
		},
		"too large": {
			service: "requestLimit: 0B\n", cause: comfreyvale.CauseRequestTooLarge, setting: "requestLimit", line: 4, ran: "no",
			call: func(s *system) reply { return s.sendBody(0, "POST", "/a", "x") },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 1, 2, c.service)
			if c.fault != nil {
				c.fault(s)
			}
			r := c.call(s)
			require.NoError(t, r.err)
			require.Equal(t, c.ran, r.header.Get("Comfreyvale-Ran"), r.body)
			subject := cmp.Or(c.subject, r.header.Get("Comfreyvale-Request-Id"))
			found, err := (&cvadminclient.Client{}).Explain(context.Background(), s.adminAddresses[0], subject)
			require.NoError(t, err)
			require.NotEmpty(t, found)
			if c.subject != "" {
				// An upstream has decisions about many requests.
				found = slices.DeleteFunc(found, func(d map[string]any) bool { return d["cause"] != string(c.cause) })
				require.NotEmpty(t, found)
			}
			last := found[len(found)-1]
			require.Equal(t, string(c.cause), last["cause"], r.body)
			if c.setting != "" {
				require.Equal(t, c.setting, last["setting"])
				require.Equal(t, c.line > 0, last["line"] != nil, "the decision must have a line if the setting is in the file, and none if it is a default")
				require.True(t, c.line == 0 || last["line"] == c.line)
				require.Equal(t, "s/comfreyvale.yaml", last["file"])
				require.Equal(t, "tester", last["author"])
				require.True(t, strings.HasPrefix(last["revision"].(string), "r-"))
			}
			if c.condition != "" {
				require.Contains(t, last["condition"], c.condition)
			}
		})
	}
}

// TestHandedOverAnswer guards against lost responses in a graceful shutdown: repeated requests through another balancer
// must get the stored responses, and no order may run again.
func TestHandedOverAnswer(t *testing.T) {
	s := newSystem(t, 2, 2, "")
	for i := range 8 {
		key := map[string]string{"Idempotency-Key": strings.Repeat("k", i+1)}
		first := s.send(0, "POST", "/orders", key)
		require.Equal(t, 200, first.status, first.body)
	}
	s.stops[0]()
	for i := range 8 {
		key := strings.Repeat("k", i+1)
		again := s.send(1, "POST", "/orders", map[string]string{"Idempotency-Key": key})
		require.Equal(t, 200, again.status, again.body)
		require.Equal(t, "true", again.header.Get("Comfreyvale-Replayed"))
		require.Equal(t, 1, s.runs(key))
	}
}
