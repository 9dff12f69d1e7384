package cvclaims_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/operators/cvmetrics"
	"comfreyvale/io/peers/cvclaims"
)

// grantingHomes grants every claim.
type grantingHomes struct{}

func (grantingHomes) Claim(context.Context, *cvwire.ClaimRequest) *cvwire.ClaimReply {
	return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_GRANTED}
}

func (grantingHomes) Release(context.Context, *cvwire.ReleaseRequest) {}

func (grantingHomes) RequestAnswer(context.Context, string, *cvwire.AnswerRequest) *cvwire.AnswerReply {
	return &cvwire.AnswerReply{}
}

func (grantingHomes) String() string { return "granting" }

const answerBudget = 1 << 20

func newClaims() *cvclaims.Claims {
	return &cvclaims.Claims{Process: "p", Homes: grantingHomes{}, AnswerBudget: answerBudget, Metrics: cvmetrics.New()}
}

// answer claims a key and stores an answer to it.
func answer(t *testing.T, c *cvclaims.Claims, key string, window time.Duration) {
	result := c.Claim(context.Background(), comfreyvale.NewKey(key, []byte{1}, window))
	require.Equal(t, comfreyvale.ClaimGranted, result.State())
	c.Finish(result.Grant(), comfreyvale.NewAnswer(http.StatusOK, nil, []byte(key)))
}

// TestHandOverSkipsExpired guards against a hand-over that ends at the first grant which has expired meanwhile.
func TestHandOverSkipsExpired(t *testing.T) {
	c := newClaims()
	answer(t, c, "first", time.Hour)
	answer(t, c, "short", time.Minute)
	answer(t, c, "last", time.Hour)
	var sent []string
	accepted := c.HandOver(context.Background(), func(_ context.Context, request *cvwire.SettleRequest) bool {
		sent = append(sent, request.GetKey())
		c.Expire(time.Now().Add(2 * time.Minute))
		return true
	})
	require.Equal(t, []string{"first", "last"}, sent)
	require.Equal(t, 2, accepted)
}

// TestAdopt checks that an answer counts as adopted only if it is stored, also when it is handed over again.
func TestAdopt(t *testing.T) {
	now := time.Now()
	c := newClaims()
	settle := func(key string, size int) bool {
		return c.Adopt(now, &cvwire.SettleRequest{
			Key: key, Grant: "grant of " + key, Digest: []byte{1}, WindowMs: time.Hour.Milliseconds(),
			Answer: &cvwire.AnswerReply{State: cvwire.AnswerReply_ANSWERED, Status: http.StatusOK, Body: []byte(strings.Repeat("a", size))},
		})
	}
	require.True(t, settle("small", 10))
	require.True(t, settle("small", 10), "the reply to the first hand-over may be lost")
	require.False(t, settle("large", answerBudget))
	require.Equal(t, 1, c.Len())
}
