package policy

import (
	"math/rand/v2"
	"slices"

	"siskinpath/bench/sim"
	"siskinpath/core/clock"
)

// hotQuantile is the quantile of requests in flight above which a probed upstream
// is hot; the others are cold.
const hotQuantile = 0.84

// ProbingPool chooses among the upstreams whose probe responses are in the host's
// pool: the cold one with the lowest latency, or the one with the fewest requests
// in flight if all are hot.
type ProbingPool struct{ Rand *rand.Rand }

// Choose returns the index of the upstream with the best probe response, or a
// random index while the pool holds fewer than two.
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

// bestProbe returns the index of the best probe response.
func bestProbe(probes []sim.PooledProbe) int {
	hot := hotThreshold(probes)
	best := 0
	for i, k := range probes {
		if better(k, probes[best], hot) {
			best = i
		}
	}
	return best
}

// hotThreshold returns the number of requests in flight above which an upstream
// is hot.
func hotThreshold(probes []sim.PooledProbe) int {
	inFlight := make([]int, len(probes))
	for i, k := range probes {
		inFlight[i] = k.InFlight
	}
	slices.Sort(inFlight)
	return inFlight[int(hotQuantile*float64(len(inFlight)-1))]
}

// better reports whether a is better than b.
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
