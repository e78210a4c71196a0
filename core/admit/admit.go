// Package admit holds the small budgets that keep one service from harming
// itself: a rate of tokens, a share of traffic, and the spreading of callers
// that were refused. It is plain state without goroutines or wall clock.
package admit

import "siskinpath/core/clock"

// Policy is a choice among n candidates, numbered from 0, for one item. The
// shard's own choice and the well-known policies it is compared with share it.
type Policy[T any] interface {
	// Choose returns the number of the candidate to use, or -1 for none.
	Choose(now clock.Millis, item T) int
}
