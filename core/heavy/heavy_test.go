package heavy

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

// play plays ten seconds with a plain policy.
func play(choose func(*Plain) *PlainUpstream, change func(w *World)) *World {
	w := New(Setup{Seed: 3, Hosts: 10, Upstreams: 20, Slots: 4, Policy: func(rnd *rand.Rand) Policy {
		return &Plain{Choose: choose, Rand: rnd}
	}})
	w.Load(Kind{PerSecond: 60, Priority: 0, Target: 300, Deadline: 800, Work: 110})
	w.Load(Kind{PerSecond: 60, Priority: 2, Target: 400, Deadline: 1200, Work: 160, Idempotent: true})
	if change != nil {
		change(w)
	}
	w.Run(10 * clock.Second)
	return w
}

func TestWorld(t *testing.T) {
	Convey("equal seeds play the same", t, func() {
		So(play(PowerOfTwo, nil).Got, ShouldResemble, play(PowerOfTwo, nil).Got)
	})
	Convey("every request has an end in time, and no promise is broken", t, func() {
		w := play(PowerOfTwo, func(w *World) {
			w.Upstreams[0].Silent, w.Upstreams[1].Down, w.Upstreams[2].Failing, w.Upstreams[3].Grey = true, true, 0.5, 0.5
		})
		for _, r := range w.Requests {
			So(r.Broken, ShouldBeEmpty)
			So(r.Settled || w.Now() <= r.GiveUp, ShouldBeTrue)
		}
		So(w.Got.Refused[0]+w.Got.Refused[2], ShouldBeGreaterThan, 0)
		So(w.Got.Failed[0]+w.Got.Failed[2], ShouldBeGreaterThan, 0)
	})
	Convey("upstreams that have just started answer fewer in time", t, func() {
		calm := play(PowerOfTwo, nil)
		cold := play(PowerOfTwo, func(w *World) {
			for _, u := range w.Upstreams {
				w.Restart(u)
			}
		})
		So(cold.Got.Total(), ShouldBeLessThan, calm.Got.Total())
	})
	Convey("the least load is better than any", t, func() {
		So(play(LeastLoad, nil).Got.Total(), ShouldBeGreaterThan, play(Random, nil).Got.Total())
	})
}
