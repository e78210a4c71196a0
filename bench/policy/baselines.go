// Package policy holds the well-known policies that the project's own is
// measured against. Each runs on every host by itself.
package policy

import (
	"math/rand/v2"

	"siskinpath/bench/sim"
	"siskinpath/core/admit"
	"siskinpath/core/clock"
)

// Random chooses any upstream.
type Random struct{ Rand *rand.Rand }

// Choose returns any index.
func (p Random) Choose(_ clock.Millis, candidates []sim.Candidate) int {
	return p.Rand.IntN(len(candidates))
}

// RoundRobin chooses upstreams in turn, from a place drawn at random.
type RoundRobin struct {
	Rand *rand.Rand
	next int
}

// Choose returns the index after the one before.
func (p *RoundRobin) Choose(_ clock.Millis, candidates []sim.Candidate) int {
	if p.next == 0 {
		p.next = 1 + p.Rand.IntN(len(candidates))
	}
	p.next++
	return p.next % len(candidates)
}

// LeastInFlight chooses the upstream with fewest of the host's own requests in
// flight, at random among equals.
type LeastInFlight struct{ Rand *rand.Rand }

// Choose returns the index with fewest in flight.
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

// PowerOfTwo draws two upstreams and chooses the one with fewer of the host's
// own requests in flight.
type PowerOfTwo struct{ Rand *rand.Rand }

// Choose returns the better of two indexes.
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

// Baselines returns the well-known policies, random first.
func Baselines() []sim.Policy {
	return []sim.Policy{
		{Name: "random", Baseline: func(r *rand.Rand) admit.Policy[sim.Candidate] { return Random{r} }},
		{Name: "round_robin", Baseline: func(r *rand.Rand) admit.Policy[sim.Candidate] { return &RoundRobin{Rand: r} }},
		{Name: "least_in_flight", Baseline: func(r *rand.Rand) admit.Policy[sim.Candidate] { return LeastInFlight{r} }},
		{Name: "power_of_two", Baseline: func(r *rand.Rand) admit.Policy[sim.Candidate] { return PowerOfTwo{r} }},
		{Name: "probing_pool", Probing: true, Baseline: func(r *rand.Rand) admit.Policy[sim.Candidate] { return ProbingPool{r} }},
	}
}
