// Package pause provides a sleep that ends early when a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for a duration and returns true, or returns false as soon as the
// context has ended. It does not wait if d is zero or less.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
