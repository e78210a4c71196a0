package policy

import (
	"math/rand/v2"
	"slices"

	"siskinpath/bench/sim"
	"siskinpath/core/clock"
)

// hotQuantile divides probed upstreams into hot and cold ones by requests in
// flight.
const hotQuantile = 0.84

// ProbingPool chooses among the probes kept: the cold one with the lowest
// latency, or the one with fewest in flight when all are hot.
type ProbingPool struct{ Rand *rand.Rand }

// Choose returns the index of the upstream whose probe is best, or any while
// there are too few probes.
func (p ProbingPool) Choose(_ clock.Millis, candidates []sim.Candidate) int {
	pool := candidates[0].Pool
	if len(pool.Probes) < 2 {
		return p.Rand.IntN(len(candidates))
	}
	i := bestProbe(pool.Probes)
	k := pool.Probes[i].Index
	pool.Use(i)
	return k
}

func bestProbe(kept []sim.PooledProbe) int {
	hot := hotThreshold(kept)
	best := 0
	for i, k := range kept {
		if better(k, kept[best], hot) {
			best = i
		}
	}
	return best
}

func hotThreshold(kept []sim.PooledProbe) int {
	inFlight := make([]int, len(kept))
	for i, k := range kept {
		inFlight[i] = k.InFlight
	}
	slices.Sort(inFlight)
	return inFlight[int(hotQuantile*float64(len(inFlight)-1))]
}

func better(a, b sim.PooledProbe, hot int) bool {
	aHot, bHot := a.InFlight > hot, b.InFlight > hot
	switch {
	case aHot != bHot:
		return bHot
	case aHot:
		return a.InFlight < b.InFlight
	default:
		return a.Latency < b.Latency
	}
}
