package place_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"siskinpath/core/loadsim"
	"siskinpath/core/place"
)

func TestZZ(t *testing.T) {
	n := 6
	worth := func(k loadsim.Tally) (w, d float64) {
		for name, c := range k {
			f := 1.0
			if name == "order" {
				f = 2
			}
			w += f * (float64(c.InTime) + .1*float64(c.Late))
			d += f * float64(c.Offered)
		}
		return
	}
	for _, s := range loadsim.ScarceScenarios() {
		if f := os.Getenv("SC"); f != "" && f != s.Name {
			continue
		}
		for _, pol := range []string{"placer", "alloc", "oracle2"} {
			var w, d float64
			kinds, win := loadsim.Tally{}, loadsim.Tally{}
			var probes, sends, ref int
			for seed := range uint64(n) {
				var sim *loadsim.Simulation
				switch pol {
				case "placer":
					sim = s.Play(seed+1, func(rnd *rand.Rand) loadsim.Policy {
						return &place.Placer{Service: "s", Tuning: place.DefaultTuning(), Rand: rnd}
					})
				case "alloc":
					s.Config.Allocator = true
					sim = s.Play(seed+1, func(rnd *rand.Rand) loadsim.Policy {
						return &place.Placer{Service: "s", Tuning: place.DefaultTuning(), Rand: rnd}
					})
					for _, r := range sim.Requests {
						if r.Violation != "" {
							fmt.Println("VIOLATION", r.Violation)
						}
					}
				case "oracle2":
					sim = s.PlayOracle(seed+1, &loadsim.Oracle{Slots: 2})
				case "oracle3":
					sim = s.PlayOracle(seed+1, &loadsim.Oracle{Slots: 3})
				case "oracle2nh":
					sim = s.PlayOracle(seed+1, &loadsim.Oracle{Slots: 2, NoHedge: true})
				}
				a, b := worth(sim.Kinds)
				w, d = w+a, d+b
				kinds.Add(sim.Kinds)
				win.Add(sim.Windows)
				probes += sim.Probes
				sends += sim.Outcomes.Sends
				for _, r := range sim.Refusals {
					ref += r
				}
			}
			tot := kinds.Total()
			fmt.Printf("%-14s %-9s worth %.3f probes/req %.2f sends/req %.2f refusals/req %.2f | %v\n", s.Name, pol, w/d, float64(probes)/float64(tot.Offered), float64(sends)/float64(tot.Offered), float64(ref)/float64(tot.Offered), kinds)
			if os.Getenv("WIN") != "" {
				fmt.Println("   ", win)
			}
		}
	}
}
