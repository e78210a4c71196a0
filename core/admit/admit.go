// Package admit holds the small budgets that keep one service from harming
// itself: a rate, a share of traffic, and the spreading of callers that were
// refused; and the interface that policies of choice share. It is plain state
// without goroutines or wall clock.
package admit

import "siskinpath/core/clock"

// Policy chooses one of several candidates. The shard's own choice and the
// well-known policies that it is measured against implement it.
type Policy[T any] interface {
	// Choose returns the index of the candidate to use. There is at least one.
	Choose(now clock.Millis, candidates []T) int
}
