// Package cvpause provides a sleep that a context can end early.
package cvpause

import (
	"context"
	"time"
)

// For waits until d has passed or ctx is done.
func For(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
