// Package policy defines the policies that the benchmarks compare: well-known
// baselines, which every host runs independently, and the project's own policy
// with variants of it.
package policy

import (
	"math/rand/v2"

	"siskinpath/bench/sim"
	"siskinpath/core/admit"
	"siskinpath/core/clock"
)

// Random chooses an upstream at random.
type Random struct{ Rand *rand.Rand }

// Choose returns a random index.
func (p Random) Choose(_ clock.Millis, candidates []sim.Candidate) int {
	return p.Rand.IntN(len(candidates))
}

// RoundRobin chooses upstreams in turn, starting at a random one.
type RoundRobin struct {
	Rand *rand.Rand
	next int
}

// Choose returns the index that follows the last one returned.
func (p *RoundRobin) Choose(_ clock.Millis, candidates []sim.Candidate) int {
	if p.next == 0 {
		p.next = 1 + p.Rand.IntN(len(candidates))
	}
	p.next++
	return p.next % len(candidates)
}

// LeastInFlight chooses the upstream with the fewest requests in flight from this
// host. Ties are broken at random.
type LeastInFlight struct{ Rand *rand.Rand }

// Choose returns the index of the upstream with the fewest requests in flight.
func (p LeastInFlight) Choose(_ clock.Millis, candidates []sim.Candidate) int {
	best, same := 0, 0
	for i, c := range candidates {
		switch {
		case c.InFlight < candidates[best].InFlight:
			best, same = i, 1
		case c.InFlight == candidates[best].InFlight:
			same++
			if p.Rand.IntN(same) == 0 {
				best = i
			}
		}
	}
	return best
}

// PowerOfTwo draws two upstreams at random and chooses the one with fewer requests
// in flight from this host.
type PowerOfTwo struct{ Rand *rand.Rand }

// Choose returns the index of the less loaded of two random upstreams.
func (p PowerOfTwo) Choose(_ clock.Millis, candidates []sim.Candidate) int {
	a := p.Rand.IntN(len(candidates))
	b := p.Rand.IntN(len(candidates) - 1)
	if b >= a {
		b++
	}
	if candidates[b].InFlight < candidates[a].InFlight {
		return b
	}
	return a
}

// Baselines returns the baseline policies, random first.
func Baselines() []sim.Policy {
	return []sim.Policy{
		{Name: "random", Baseline: func(r *rand.Rand) admit.Policy[sim.Candidate] { return Random{r} }},
		{Name: "round_robin", Baseline: func(r *rand.Rand) admit.Policy[sim.Candidate] { return &RoundRobin{Rand: r} }},
		{Name: "least_in_flight", Baseline: func(r *rand.Rand) admit.Policy[sim.Candidate] { return LeastInFlight{r} }},
		{Name: "power_of_two", Baseline: func(r *rand.Rand) admit.Policy[sim.Candidate] { return PowerOfTwo{r} }},
		{Name: "probing_pool", Probing: true, Baseline: func(r *rand.Rand) admit.Policy[sim.Candidate] { return ProbingPool{r} }},
	}
}
