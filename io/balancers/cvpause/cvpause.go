// Package cvpause is a wait that ends early with its context.
package cvpause

import (
	"context"
	"time"
)

// For waits for a time, or until the context ends.
func For(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
