package loadsim

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

// play plays ten seconds with a plain policy.
func play(choose func(*Baseline) *BaselineUpstream, change func(w *Simulation)) *Simulation {
	w := New(Config{Seed: 3, Hosts: 10, Upstreams: 20, Slots: 4, Policy: func(rnd *rand.Rand) Policy {
		return &Baseline{Choose: choose, Rand: rnd}
	}})
	w.Generate(Workload{PerSecond: 60, Priority: 0, Target: 300, Deadline: 800, WorkMs: 110})
	w.Generate(Workload{PerSecond: 60, Priority: 2, Target: 400, Deadline: 1200, WorkMs: 160, Idempotent: true})
	if change != nil {
		change(w)
	}
	w.Run(10 * clock.Second)
	return w
}

func TestWorld(t *testing.T) {
	Convey("equal seeds play the same", t, func() {
		So(play(PowerOfTwo, nil).Outcomes, ShouldResemble, play(PowerOfTwo, nil).Outcomes)
	})
	Convey("every request has an end in time, and no promise is broken", t, func() {
		w := play(PowerOfTwo, func(w *Simulation) {
			w.Upstreams[0].Silent, w.Upstreams[1].Down, w.Upstreams[2].ErrorShare, w.Upstreams[3].ShedShare = true, true, 0.5, 0.5
		})
		for _, r := range w.Requests {
			So(r.Violation, ShouldBeEmpty)
			So(r.Completed || w.Now() <= r.GiveUp, ShouldBeTrue)
		}
		So(w.Outcomes.Refused[0]+w.Outcomes.Refused[2], ShouldBeGreaterThan, 0)
		So(w.Outcomes.Failed[0]+w.Outcomes.Failed[2], ShouldBeGreaterThan, 0)
	})
	Convey("upstreams that have just started answer fewer in time", t, func() {
		calm := play(PowerOfTwo, nil)
		cold := play(PowerOfTwo, func(w *Simulation) {
			for _, u := range w.Upstreams {
				w.Restart(u)
			}
		})
		So(cold.Outcomes.InTimeShare(), ShouldBeLessThan, calm.Outcomes.InTimeShare())
	})
	Convey("the least load is better than any", t, func() {
		So(play(LeastLoad, nil).Outcomes.InTimeShare(), ShouldBeGreaterThan, play(Random, nil).Outcomes.InTimeShare())
	})
}
