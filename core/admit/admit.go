// Package admit provides admission control: rate limits, a budget for extra work as a
// share of traffic, and randomised retry delays for refused callers. It also holds the
// interface of balancing policies. It uses no goroutine or wall clock.
package admit

import "siskinpath/core/clock"

// Policy is a balancing policy. The policy of core/route and the textbook policies
// that it is compared with implement it.
type Policy[T any] interface {
	// Choose returns the index of the candidate to use. There is at least one.
	Choose(now clock.Millis, candidates []T) int
}
