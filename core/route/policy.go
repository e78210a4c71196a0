package route

import (
	"math/rand/v2"

	"siskinpath/core/clock"
)

// lowestCost chooses the upstream with the lowest cost, breaking ties at random.
type lowestCost struct {
	rand     *rand.Rand
	ablation *Ablation
}

// Choose returns the index of the candidate with the lowest cost.
func (p *lowestCost) Choose(_ clock.Millis, candidates []*upstream) int {
	best, same := 0, 1
	least := candidates[0].cost(p.ablation)
	for i, u := range candidates[1:] {
		cost := u.cost(p.ablation)
		switch {
		case cost < least:
			best, same, least = i+1, 1, cost
		case cost == least:
			same++
			if p.rand.IntN(same) == 0 {
				best = i + 1
			}
		}
	}
	return best
}

// youngestInFlight chooses the upstream whose oldest request in flight is the
// youngest.
type youngestInFlight struct{}

// Choose returns the index of the candidate whose oldest request in flight is the
// youngest.
func (youngestInFlight) Choose(now clock.Millis, candidates []*upstream) int {
	best := 0
	for i, u := range candidates {
		if u.oldestAge(now) < candidates[best].oldestAge(now) {
			best = i
		}
	}
	return best
}
