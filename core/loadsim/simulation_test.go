package loadsim

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

// simulate runs ten seconds with a baseline policy.
func simulate(choose func(*Baseline) *BaselineUpstream, change func(sim *Simulation)) *Simulation {
	sim := New(Config{Seed: 3, Hosts: 10, Upstreams: 20, Slots: 4, Policy: func(rnd *rand.Rand) Policy {
		return &Baseline{Choose: choose, Rand: rnd}
	}})
	sim.Generate(Workload{PerSecond: 60, Priority: 0, Target: 300, Deadline: 800, WorkMs: 110})
	sim.Generate(Workload{PerSecond: 60, Priority: 2, Target: 400, Deadline: 1200, WorkMs: 160, Idempotent: true})
	if change != nil {
		change(sim)
	}
	sim.Run(10 * clock.Second)
	return sim
}

func TestSimulation(t *testing.T) {
	Convey("runs with equal seeds are identical", t, func() {
		So(simulate(PowerOfTwo, nil).Outcomes, ShouldResemble, simulate(PowerOfTwo, nil).Outcomes)
	})
	Convey("every request completes in time, and no guarantee is broken", t, func() {
		sim := simulate(PowerOfTwo, func(sim *Simulation) {
			sim.Upstreams[0].Silent, sim.Upstreams[1].Down, sim.Upstreams[2].ErrorShare, sim.Upstreams[3].ShedShare = true, true, 0.5, 0.5
		})
		for _, r := range sim.Requests {
			So(r.Violation, ShouldBeEmpty)
			So(r.Completed || sim.Now() <= r.GiveUp, ShouldBeTrue)
		}
		So(sim.Outcomes.Refused[0]+sim.Outcomes.Refused[2], ShouldBeGreaterThan, 0)
		So(sim.Outcomes.Failed[0]+sim.Outcomes.Failed[2], ShouldBeGreaterThan, 0)
	})
	Convey("upstreams that have just started answer fewer requests in time", t, func() {
		calm := simulate(PowerOfTwo, nil)
		cold := simulate(PowerOfTwo, func(sim *Simulation) {
			for _, u := range sim.Upstreams {
				sim.Restart(u)
			}
		})
		So(cold.Outcomes.InTimeShare(), ShouldBeLessThan, calm.Outcomes.InTimeShare())
	})
	Convey("least load answers more requests in time than random choice", t, func() {
		So(simulate(LeastLoad, nil).Outcomes.InTimeShare(), ShouldBeGreaterThan, simulate(Random, nil).Outcomes.InTimeShare())
	})
}
