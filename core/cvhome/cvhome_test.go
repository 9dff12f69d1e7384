package cvhome_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvhome"
	"comfreyvale/core/cvwire"
)

func allKeys(string) bool { return true }

// TestMovedAnswer guards against a home that asks a process for an answer that has moved to another: whatever the order
// in which it imports the journal of the first home and the copies of others, the last holder counts.
func TestMovedAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	request := func(grant string) *cvwire.ClaimRequest {
		return &cvwire.ClaimRequest{Key: "k", Grant: grant, Holder: "holder of " + grant, Digest: []byte{1}, WindowMs: 60_000}
	}
	first := &cvhome.Home{Incarnation: "first"}
	require.Nil(t, first.Claim(now, request("g"), false))
	journal := first.NextRecord().GetClaims()
	require.Equal(t, []string{"g"}, first.Commit())
	second := &cvhome.Home{Incarnation: "second"}
	second.Import(now, journal)
	require.True(t, second.Reassign("g", "second's process"))
	once := second.Handover(now, allKeys)
	third := &cvhome.Home{Incarnation: "third"}
	third.Import(now, once)
	require.True(t, third.Reassign("g", "third's process"))
	twice := third.Handover(now, allKeys)
	cases := map[string]struct {
		imports [][]*cvwire.Claim
		holder  string
	}{
		"journal alone":            {[][]*cvwire.Claim{journal}, "holder of g"},
		"journal, moved":           {[][]*cvwire.Claim{journal, once}, "second's process"},
		"moved, journal":           {[][]*cvwire.Claim{once, journal}, "second's process"},
		"journal, moved twice":     {[][]*cvwire.Claim{journal, once, twice}, "third's process"},
		"moved twice, older copy":  {[][]*cvwire.Claim{twice, once, journal}, "third's process"},
		"the same copy once again": {[][]*cvwire.Claim{twice, twice}, "third's process"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := &cvhome.Home{Incarnation: "new"}
			for _, claims := range c.imports {
				h.Import(now, claims)
			}
			reply := h.Claim(now, request("later"), false)
			require.Equal(t, cvwire.ClaimReply_HELD, reply.GetVerdict())
			require.Equal(t, c.holder, reply.GetHolder())
			require.Equal(t, "g", reply.GetGrant())
		})
	}
}

// TestVoidClaimOfEvictedHome guards against a second grant of a key: a home that was paused and evicted takes a claim
// before it reads its eviction, joins again, and hands that claim over after its successor has granted the key.
func TestVoidClaimOfEvictedHome(t *testing.T) {
	now := time.Unix(1000, 0)
	request := func(grant string) *cvwire.ClaimRequest {
		return &cvwire.ClaimRequest{Key: "k", Grant: grant, Holder: "holder of " + grant, Digest: []byte{1}, WindowMs: 60_000}
	}
	evicted := &cvhome.Home{Incarnation: "evicted#1"}
	require.Nil(t, evicted.Claim(now, request("void"), false))
	successor := &cvhome.Home{Incarnation: "successor"}
	require.Nil(t, successor.Claim(now, request("valid"), false))
	require.NotNil(t, successor.NextRecord())
	require.Equal(t, []string{"valid"}, successor.Commit())

	evicted.Seal()
	rejoined := &cvhome.Home{Incarnation: "evicted#2"}
	rejoined.Import(now, evicted.Handover(now, allKeys))
	successor.Import(now, rejoined.Handover(now, allKeys))

	for _, grant := range []string{"void", "later"} {
		reply := successor.Claim(now, request(grant), false)
		require.Equal(t, cvwire.ClaimReply_HELD, reply.GetVerdict(), grant)
		require.Equal(t, "valid", reply.GetGrant())
	}
}

// TestImportedClaimIsJournalled guards against a grant that no journal holds: a claim that still waited for the journal
// of its home when the key moved, and that the home was evicted before it wrote.
func TestImportedClaimIsJournalled(t *testing.T) {
	now := time.Unix(1000, 0)
	request := &cvwire.ClaimRequest{Key: "k", Grant: "g", Holder: "holder", Digest: []byte{1}, WindowMs: 60_000}
	earlier := &cvhome.Home{Incarnation: "earlier"}
	require.Nil(t, earlier.Claim(now, request, false))
	home := &cvhome.Home{Incarnation: "home"}
	home.Import(now, earlier.Handover(now, allKeys))

	require.Nil(t, home.Claim(now, request, false), "the claim was granted before the journal held it")
	require.Nil(t, home.Claim(now, request, false))
	record := home.NextRecord()
	require.Len(t, record.GetClaims(), 1)
	require.Equal(t, []string{"g"}, home.Commit())
	require.Equal(t, cvwire.ClaimReply_GRANTED, home.Claim(now, request, false).GetVerdict())
}

// TestClaimAfterSeal guards against a claim that waits in vain at a home whose journal was sealed.
func TestClaimAfterSeal(t *testing.T) {
	now := time.Unix(1000, 0)
	request := &cvwire.ClaimRequest{Key: "k", Grant: "g", Holder: "holder", Digest: []byte{1}, WindowMs: 60_000}
	home := &cvhome.Home{Incarnation: "home"}
	require.Nil(t, home.Claim(now, request, false))
	home.Seal()
	require.Equal(t, cvwire.ClaimReply_UNAVAILABLE, home.Claim(now, request, false).GetVerdict())
}
