package proof

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// order sends an order with an idempotency key to balancer i and returns the response's status and body.
func (c *cluster) order(i int, key string) (status int, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.caller(i)+"/reservations", strings.NewReader("bale"))
	require.NoError(c.t, err)
	request.Host = "listings.lanasur.example"
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(c.t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	return response.StatusCode, string(content)
}

// replace stops balancers by plan, one after the other, and starts them again.
func (c *cluster) replace(balancers ...int) {
	for _, i := range balancers {
		require.Zero(c.t, c.stop(balancerName(i)))
	}
	for _, i := range balancers {
		c.startBalancer(i)
	}
	for _, i := range balancers {
		c.awaitOK("http://" + c.admin(i) + "/ready")
	}
	c.awaitMembers(c.numBalancers())
}

// TestResendAfterReplacement guards against answers that are lost although every balancer was stopped by plan: an order
// that is sent again after all have been replaced, one half after the other, gets its first answer.
func TestResendAfterReplacement(t *testing.T) {
	c := newCluster(t)
	const orders = 60
	first := make(map[string]string)
	for n := range orders {
		key := fmt.Sprintf("resend-%d", n)
		status, body := c.order(n%balancerCount, key)
		require.Equal(t, http.StatusOK, status, body)
		first[key] = body
	}
	c.replace(0, 1, 2)
	c.replace(3, 4, 5)
	c.replace(0, 1, 2)
	lost := make(map[string]string)
	for n := range orders {
		key := fmt.Sprintf("resend-%d", n)
		if status, body := c.order((n+1)%balancerCount, key); status != http.StatusOK || body != first[key] {
			lost[key] = fmt.Sprintf("status %d, %s", status, body)
		}
	}
	require.Empty(t, lost)
}
