// Package pause waits for a time or for the end of a context.
package pause

import (
	"context"
	"time"
)

// For waits. It returns false when the context has ended; a time of zero or
// less does not wait.
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
