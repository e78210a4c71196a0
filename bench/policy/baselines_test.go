package policy

import (
	"math/rand/v2"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"siskinpath/bench/sim"
)

func candidates(inFlight ...int) []sim.Candidate {
	var list []sim.Candidate
	for i, n := range inFlight {
		list = append(list, sim.Candidate{Index: i, InFlight: n})
	}
	return list
}

func TestBaselines(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	convey.Convey("round robin chooses every upstream equally often", t, func() {
		p := &RoundRobin{Rand: rnd}
		seen := make(map[int]int)
		for range 30 {
			seen[p.Choose(0, candidates(0, 0, 0))]++
		}
		convey.So(seen, convey.ShouldResemble, map[int]int{0: 10, 1: 10, 2: 10})
	})
	convey.Convey("least in flight chooses one of those with the fewest requests", t, func() {
		for range 20 {
			convey.So(LeastInFlight{rnd}.Choose(0, candidates(3, 1, 2, 1)), convey.ShouldBeIn, 1, 3)
		}
	})
	convey.Convey("power of two never chooses the most loaded upstream", t, func() {
		for range 50 {
			convey.So(PowerOfTwo{rnd}.Choose(0, candidates(9, 1, 2)), convey.ShouldNotEqual, 0)
		}
	})
	convey.Convey("the probing pool chooses the cold upstream with the lowest latency", t, func() {
		probes := []sim.PooledProbe{
			{Index: 0, InFlight: 9, Latency: 1},
			{Index: 1, InFlight: 1, Latency: 30},
			{Index: 2, InFlight: 2, Latency: 10},
			{Index: 3, InFlight: 1, Latency: 20},
		}
		convey.So(probes[bestProbe(probes)].Index, convey.ShouldEqual, 2)
	})
}
