package place

import (
	"slices"

	"siskinpath/core/clock"
)

const (
	// budgetSamples is how many requests of a route usualBudget goes by, and minBudgetSamples
	// how many it needs.
	budgetSamples    = 64
	minBudgetSamples = 8
	// usualBudgetRank is the share of the requests with less time left than the usual budget.
	// It is high, as in overload most requests are of callers that have come back.
	usualBudgetRank = 0.8
	// budgetSpread is the share of the usual budget that callers give at least when they send a
	// request for the first time.
	budgetSpread = 0.85
	// returnMemory is how long after a refusal its caller may come back.
	returnMemory = 10 * clock.Second
)

// spentTime estimates how much of their time callers have spent with earlier attempts: those
// that have come back have less left than is usual for the route.
type spentTime struct {
	budgets   map[string]*budgets // by route
	refusedAt clock.Millis        // when a request was last refused, or this host started
}

// budgets holds the time that callers of a route had left, of the last requests.
type budgets struct {
	left   []clock.Millis
	next   int
	sorted []clock.Millis // scratch
}

func (b *budgets) record(left clock.Millis) {
	if len(b.left) < budgetSamples {
		b.left = append(b.left, left)
		return
	}
	b.left[b.next] = left
	b.next = (b.next + 1) % budgetSamples
}

// usual returns the usual time of callers that have not spent any, 0 if it is not known.
func (b *budgets) usual() clock.Millis {
	if len(b.left) < minBudgetSamples {
		return 0
	}
	b.sorted = append(b.sorted[:0], b.left...)
	slices.Sort(b.sorted)
	return b.sorted[int(usualBudgetRank*float64(len(b.sorted)-1))]
}

// recordRefusal records that a caller has been turned away, and may come back.
func (s *spentTime) recordRefusal(now clock.Millis) { s.refusedAt = now }

// of records a request whose caller had some time left, and returns how much the caller has
// spent at least. It is 0 while no caller can have been turned away: one that has less time
// than others then just gives less.
func (s *spentTime) of(now clock.Millis, route string, left clock.Millis) clock.Millis {
	if left <= 0 {
		return 0
	}
	if s.budgets == nil {
		s.budgets = map[string]*budgets{}
	}
	b := s.budgets[route]
	if b == nil {
		b = &budgets{}
		s.budgets[route] = b
	}
	b.record(left)
	spent := clock.Millis(budgetSpread*float64(b.usual())) - left
	if spent <= 0 || now-s.refusedAt > returnMemory {
		return 0
	}
	return spent
}
